package org.fescuehook.logic.batch.ownership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.PendingCall;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.WriterPosition;

/**
 * Decides when this VM claims ownership, keeps it by heartbeats and detects its loss.
 *
 * <p>A claim is an append that the store accepts only if the stream still ends where the claimant
 * has read it to. Its offset determines the epoch, so no two owners share one. The claim raises the
 * epoch of the stream, so that heartbeats of the former owner are rejected.
 */
public final class OwnershipDuty {

  /** Pause before a claim or heartbeat that was not stored is repeated. */
  private static final long RETRY_PAUSE_NANOS = Duration.ofMillis(100).toNanos();

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Offset of an owner reported by a peer before any record was read. */
  private static final long BEFORE_FIRST_OFFSET = -1;

  private final OwnerIdentity self;

  /**
   * Sequence number of this VM's claims. Claimants must not share one: the store answers a repeated
   * epoch and sequence number with the first answer, so each would be told that it has won.
   */
  private final long claimSequence;

  private final OwnershipTimeouts timeouts = new OwnershipTimeouts();
  private final OwnerSilence silence = new OwnerSilence(timeouts);
  private final ReachComparison reach;
  private final ClaimRule claimRule;
  private Optional<OwnerRecord> newest = Optional.empty();
  private OptionalLong end = OptionalLong.empty();
  private OptionalLong epoch = OptionalLong.empty();
  private long sequence;
  private boolean readable;
  private final PendingCall appending = new PendingCall(PendingCall.APPEND_TIMEOUT);

  /**
   * The append with the present sequence number, while its outcome is open. It is repeated until it
   * is certainly stored: the store gives a repeat the first answer, whatever it contains.
   */
  private Optional<OwnerRecord.Kind> unconfirmed = Optional.empty();

  /** Whether that append may have been stored before it was sent the last time. */
  private boolean mayBeStoredAlready;

  private long nextAppendAt;
  private long lastSentAt;
  private long firstSentAt;
  private OptionalLong confirmedAt = OptionalLong.empty();

  /** How long the last append took until it was confirmed, repeats included; 0 if unknown. */
  private long confirmationNanos;

  private boolean retired;
  private boolean yielding;

  /** Creates the duty of a VM that has not read anything. */
  public OwnershipDuty(OwnerIdentity self) {
    this.self = self;
    this.reach = new ReachComparison(self);
    this.claimRule = new ClaimRule(self, timeouts, silence, reach);
    this.claimSequence = Integer.toUnsignedLong((self.vm() + self.incarnation()).hashCode());
  }

  /** Returns the epoch if this VM is the owner as far as it knows. */
  public OptionalLong epoch() {
    return epoch;
  }

  /** Returns the epoch if this VM may decide; absent while it gives ownership up. */
  public OptionalLong decidingEpoch() {
    return retired || yielding ? OptionalLong.empty() : epoch;
  }

  /**
   * Returns the newest record of an owner, unless it has given up, or is this VM without an epoch.
   */
  public Optional<OwnerRecord> owner() {
    return newest
        .filter(record -> record.kind() != OwnerRecord.Kind.RELEASE)
        .filter(record -> epoch.isPresent() || !bySelf(record));
  }

  /** Returns how well this VM reaches the store. */
  public StoreReachability storeReachability(BatchContext context) {
    return timeouts.storeReachability(confirmedAt.orElse(context.nowNanos()), context);
  }

  /** Records that this VM is running. Reading of the stream starts with the first call. */
  public void recordActivity(BatchContext context) {
    timeouts.recordActivity(context);
  }

  /** Records a read to the end of the stream, and its newest record if there is a new one. */
  public void read(Optional<OwnerRecord> record, long streamEnd, BatchContext context) {
    end = OptionalLong.of(Math.max(streamEnd, end.orElse(0)));
    readable = true;
    if (timeouts.readOverdue(context)) {
      silence.restart(context);
    }
    timeouts.readCompleted(context);
    if (record.isEmpty()) {
      return;
    }
    OwnerRecord seen = record.get();
    if (newest.isPresent() && seen.offset() <= newest.get().offset()) {
      return;
    }
    boolean changed = newest.isEmpty() || newest.get().epoch() != seen.epoch();
    newest = record;
    silence.recordRead(seen, !changed, context);
    reach.ownerSeen(seen, context);
    if (changed) {
      context.note(BatchLogEvent.OWNER_SEEN, seen.vm(), seen.epoch(), seen.kind());
    }
    if (epoch.isPresent() && seen.epoch() > epoch.getAsLong()) {
      loseOwnership(context, "a claim of " + seen.vm());
    }
    boolean ownClaim = seen.kind() == OwnerRecord.Kind.CLAIM && bySelf(seen);
    if (ownClaim && epoch.isEmpty() && !retired) {
      becomeOwner(seen.epoch(), context);
    }
  }

  /** Records a failed read: the silence of the owner is measured anew from now on. */
  public void readFailed(BatchContext context) {
    readable = false;
    timeouts.readFailed(context);
    silence.restart(context);
  }

  /** Returns the owner to report to peers: this VM, or the one it knows. */
  public Optional<OwnerHint> hint() {
    if (epoch.isPresent()) {
      return Optional.of(new OwnerHint(self.vm(), epoch.getAsLong(), self.address()));
    }
    return owner().map(known -> new OwnerHint(known.vm(), known.epoch(), known.address()));
  }

  /**
   * Handles an owner reported by a peer, if it is newer than the known one. This matters while this
   * VM cannot read the stream itself; what it reads later has precedence.
   */
  public void hintReceived(OwnerHint hint, BatchContext context) {
    long known = Math.max(epoch.orElse(0), newest.map(OwnerRecord::epoch).orElse(0L));
    if (hint.epoch() <= known || hint.vm().equals(self.vm())) {
      return;
    }
    long offset = newest.map(OwnerRecord::offset).orElse(BEFORE_FIRST_OFFSET);
    newest = Optional.of(OwnerRecord.fromHint(hint, offset));
    silence.restartByNews(context);
    context.note(BatchLogEvent.OWNER_SEEN, hint.vm(), hint.epoch(), "peer's word");
    if (epoch.isPresent()) {
      loseOwnership(context, "a peer knows " + hint.vm() + " at epoch " + hint.epoch());
    }
  }

  /** Records that the owner has shown that it currently makes no decisions. */
  public void ownerSuspected(BatchContext context) {
    if (epoch.isEmpty()) {
      silence.suspected(context);
    }
  }

  /** Handles the outcome of a probe of executors. */
  public void probed(long number, Set<InetSocketAddress> reached, BatchContext context) {
    reach.probed(number, reached, context);
  }

  /** Sends a claim or a heartbeat if one is due, by a VM without executors. */
  public void step(BatchContext context) {
    step(Optional::empty, context);
  }

  /**
   * Sends a claim, a heartbeat or a probe of executors if one is due.
   *
   * @param ownReach which executors this VM reaches as the owner, for its heartbeat
   */
  public void step(Supplier<Optional<ReachReport>> ownReach, BatchContext context) {
    if (epoch.isEmpty() && !retired && readable) {
      reach.step(context);
    }
    if (appending.isPending(context) || context.nowNanos() - nextAppendAt < 0) {
      return;
    }
    if (epoch.isPresent()) {
      OwnerRecord.Kind wanted =
          retired || yielding ? OwnerRecord.Kind.RELEASE : OwnerRecord.Kind.HEARTBEAT;
      append(unconfirmed.orElse(wanted), OptionalLong.empty(), ownReach.get(), context);
      return;
    }
    if (!retired && end.isPresent() && mayClaim(context)) {
      claim(context);
    }
  }

  /**
   * Returns how long no claim can become due if no news arrives; zero if one may be due now, or if
   * this VM is the owner.
   */
  public Duration minTimeToClaim(long nowNanos) {
    boolean another =
        owner()
            .filter(owner -> !owner.vm().equals(self.vm()))
            .filter(owner -> !ProcessingPower.muchStronger(self.milliCores(), owner.milliCores()))
            .isPresent();
    if (epoch.isPresent() || !another || reach.wanted()) {
      return Duration.ZERO;
    }
    return OwnershipTimeouts.minTimeToClaim(silence.nanos(nowNanos));
  }

  private boolean mayClaim(BatchContext context) {
    return newest.isEmpty() || claimRule.mayClaim(newest.get(), readable, context);
  }

  private void claim(BatchContext context) {
    silence.noteClaim(context);
    sequence = claimSequence;
    clearUnconfirmed();
    append(OwnerRecord.Kind.CLAIM, end, Optional.empty(), context);
  }

  private int lastAppendMillis() {
    return Math.clamp(Math.ceilDiv(confirmationNanos, NANOS_PER_MILLI), 0, Integer.MAX_VALUE);
  }

  private void append(
      OwnerRecord.Kind kind,
      OptionalLong expectedEnd,
      Optional<ReachReport> ownReach,
      BatchContext context) {
    appending.begin(context);
    lastSentAt = context.nowNanos();
    if (unconfirmed.isEmpty()) {
      firstSentAt = context.nowNanos();
    }
    // One that is still unconfirmed had no outcome, or one that leaves open if it is stored.
    mayBeStoredAlready = unconfirmed.isPresent();
    unconfirmed = Optional.of(kind);
    long appendEpoch = epoch.orElseGet(() -> expectedEnd.getAsLong() + 1);
    OwnerRecord record =
        new OwnerRecord(
            kind,
            self.vm(),
            self.incarnation(),
            self.address(),
            appendEpoch,
            0,
            self.milliCores(),
            lastAppendMillis(),
            ownReach);
    KeyedRecord keyed = new KeyedRecord(OwnerCodec.KEY, Optional.of(OwnerCodec.encode(record)));
    context.add(
        new BatchCommand.Append(
            StreamName.OWNERSHIP,
            new WriterPosition(appendEpoch, sequence),
            expectedEnd,
            List.of(keyed)));
  }

  /** Handles the outcome of a claim or a heartbeat. */
  public void appendCompleted(
      WriterPosition position, AppendOutcome outcome, BatchContext context) {
    appending.end();
    if (outcome.processedByStore()) {
      timeouts.appended(context.nowNanos() - lastSentAt, context);
    }
    boolean claimed = position.sequence() == claimSequence;
    switch (outcome) {
      case AppendOutcome.Stored stored -> stored(position, claimed, context);
      case AppendOutcome.Refused refused -> {
        unconfirmed = mayBeStoredAlready ? unconfirmed : Optional.empty();
        nextAppendAt = context.nowNanos() + RETRY_PAUSE_NANOS;
      }
      case AppendOutcome.Unanswered unanswered -> {
        mayBeStoredAlready = true;
        nextAppendAt =
            context.nowNanos() + (claimed ? timeouts.claimPauseNanos(context) : RETRY_PAUSE_NANOS);
      }
      case AppendOutcome.Fenced fenced -> superseded(position, "a higher epoch", context);
      case AppendOutcome.Conflict conflict -> superseded(position, "a later record", context);
      case AppendOutcome.OutOfSequence _ -> superseded(position, "another sequence", context);
    }
  }

  private void stored(WriterPosition position, boolean claimed, BatchContext context) {
    if (claimed && epoch.isEmpty() && !retired) {
      becomeOwner(position.epoch(), context);
    }
    if (epoch.isEmpty() || epoch.getAsLong() != position.epoch()) {
      return;
    }
    boolean released = unconfirmed.equals(Optional.of(OwnerRecord.Kind.RELEASE));
    clearUnconfirmed();
    confirmationNanos = context.nowNanos() - firstSentAt;
    confirmedAt = OptionalLong.of(firstSentAt);
    sequence = position.sequence() + 1;
    boolean ending = retired || yielding;
    nextAppendAt = ending ? context.nowNanos() : firstSentAt + OwnershipTimeouts.HEARTBEAT_NANOS;
    if (released) {
      loseOwnership(context, retired ? "this VM stops" : "this VM could not begin to decide");
    }
  }

  private void clearUnconfirmed() {
    unconfirmed = Optional.empty();
    mayBeStoredAlready = false;
  }

  private void superseded(WriterPosition position, String cause, BatchContext context) {
    // Another claim was stored first; its record is read before this VM may claim again.
    nextAppendAt = context.nowNanos() + timeouts.claimPauseNanos(context);
    silence.restart(context);
    if (epoch.isPresent() && epoch.getAsLong() == position.epoch()) {
      loseOwnership(context, cause);
    }
  }

  private void becomeOwner(long won, BatchContext context) {
    clearUnconfirmed();
    epoch = OptionalLong.of(won);
    sequence = claimSequence + 1;
    confirmationNanos = 0;
    confirmedAt = OptionalLong.of(firstSentAt);
    // Others have received nothing since the claim was sent, long ago if the store is slow.
    nextAppendAt = firstSentAt + OwnershipTimeouts.HEARTBEAT_NANOS;
    context.note(BatchLogEvent.OWNERSHIP_WON, won);
  }

  private void loseOwnership(BatchContext context, String cause) {
    context.note(BatchLogEvent.OWNERSHIP_LOST, epoch.orElse(0), cause);
    if (yielding) {
      yielding = false;
      claimRule.yielded(context);
    }
    clearUnconfirmed();
    epoch = OptionalLong.empty();
    confirmedAt = OptionalLong.empty();
    silence.restart(context);
  }

  /** Ends ownership that was lost in another stream, or that is given up because of a fault. */
  public void abandon(String cause, BatchContext context) {
    if (epoch.isPresent()) {
      loseOwnership(context, cause);
    }
  }

  /**
   * Gives ownership up, so that another VM claims at once; this VM then claims only if none does.
   * Its heartbeats would keep the others from claiming although it makes no decisions.
   */
  public void yield(BatchContext context) {
    if (epoch.isPresent() && !yielding) {
      yielding = true;
      nextAppendAt = context.nowNanos();
    }
  }

  /** Gives ownership up for good, so that another VM claims at once. */
  public void retire(BatchContext context) {
    retired = true;
    nextAppendAt = context.nowNanos();
    step(context);
  }

  private boolean bySelf(OwnerRecord record) {
    return record.writtenBy(self.vm(), self.incarnation());
  }
}
