package org.fescuehook.logic.batch.ownership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.BatchTurn;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.Outstanding;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.WriterPosition;

/**
 * Decides when this VM claims ownership, keeps it alive by heartbeats and notices its loss.
 *
 * <p>A claim is an append that the store takes only if the stream still ends where the claimant has
 * read it to; its offset makes its epoch, so no two owners share one. The claim raises the epoch of
 * the stream, and with it shuts out the former owner's heartbeats.
 */
public final class OwnershipDuty {

  /** How long a doubt counts; calls that renew it come several times a second. */
  private static final long DOUBT_NANOS = Duration.ofMillis(1500).toNanos();

  /** Pause before a claim or heartbeat that the store did not take is repeated. */
  private static final long RETRY_NANOS = Duration.ofMillis(100).toNanos();

  /**
   * How long a much weaker VM than the former owner leaves the claim to others of its kind, if
   * there are any; they read of a silence within some 0.4 s of each other.
   */
  private static final long WEAKER_WAIT_NANOS = Duration.ofMillis(500).toNanos();

  /**
   * How long a VM that could not begin to decide claims only where nobody else does; what kept it
   * from it, such as a thin link, rarely passes sooner.
   */
  private static final long YIELD_NANOS = Duration.ofSeconds(60).toNanos();

  /** Longer than any other VM waits, so that each of them claims first. */
  private static final long YIELD_WAIT_NANOS = Duration.ofMillis(2000).toNanos();

  /** Offset of what a peer told before any record was read. */
  private static final long BEFORE_FIRST = -1;

  private final OwnerIdentity self;

  /**
   * Sequence of this VM's claims. The store answers a repeated epoch and sequence as it answered
   * the first, so claimants must not share a sequence: each would read that it has won.
   */
  private final long claimSequence;

  private final OwnershipTimeouts pace = new OwnershipTimeouts();
  private Optional<OwnerRecord> newest = Optional.empty();
  private OptionalLong end = OptionalLong.empty();
  private OptionalLong epoch = OptionalLong.empty();
  private long quietSince;

  /** Whether the silence began with a record of the owner. */
  private boolean quietSinceHeard;

  private OptionalLong doubtedAt = OptionalLong.empty();
  private long sequence;
  private boolean readable;
  private final Outstanding appending = new Outstanding(Outstanding.APPEND);

  /**
   * What was sent under the present sequence and may have been stored. It is sent again until it
   * surely is: the store answers a repeated sequence as it answered the first, whatever it carries.
   */
  private Optional<OwnerRecord.Kind> unsettled = Optional.empty();

  /** Whether it may have been stored before it was sent the last time. */
  private boolean unsettledUnsure;

  private long nextAppendAt;
  private long sentAt;
  private long heartbeatSentAt;
  private OptionalLong confirmedAt = OptionalLong.empty();
  private boolean retired;
  private boolean yielding;
  private OptionalLong yieldedAt = OptionalLong.empty();

  /** Creates the duty of a VM that has read nothing. */
  public OwnershipDuty(OwnerIdentity self) {
    this.self = self;
    this.claimSequence = Integer.toUnsignedLong((self.vm() + self.incarnation()).hashCode());
  }

  /** Returns the epoch if this VM owns as far as it knows. */
  public OptionalLong epoch() {
    return epoch;
  }

  /** Returns the epoch if this VM may decide; it may not while it gives ownership up. */
  public OptionalLong decidingEpoch() {
    return retired || yielding ? OptionalLong.empty() : epoch;
  }

  /**
   * Returns the newest record of an owner that may decide; absent if there is none, if it has given
   * up, or if it is this VM itself and has lost its epoch.
   */
  public Optional<OwnerRecord> owner() {
    return newest
        .filter(record -> record.kind() != OwnerRecord.Kind.RELEASE)
        .filter(record -> epoch.isPresent() || !bySelf(record));
  }

  /** Returns what is known of this VM's way to the store. */
  public StoreContact contact(BatchTurn turn) {
    return pace.contact(confirmedAt.orElse(turn.nowNanos()), turn);
  }

  /** Takes in that this VM runs. The stream is read from the first call on. */
  public void runs(BatchTurn turn) {
    pace.runs(turn);
  }

  /** Takes in that the stream was read to its end. */
  public void read(Optional<OwnerRecord> record, long streamEnd, BatchTurn turn) {
    end = OptionalLong.of(Math.max(streamEnd, end.orElse(0)));
    readable = true;
    if (pace.readLate(turn)) {
      quietFromNow(false, turn);
    }
    pace.read(turn);
    if (record.isEmpty()) {
      return;
    }
    OwnerRecord seen = record.get();
    if (newest.isPresent() && seen.offset() <= newest.get().offset()) {
      return;
    }
    boolean changed = newest.isEmpty() || newest.get().epoch() != seen.epoch();
    if (!changed && quietSinceHeard) {
      pace.heard(turn.nowNanos() - quietSince, turn);
    }
    newest = record;
    quietFromNow(true, turn);
    doubtedAt = OptionalLong.empty();
    if (changed) {
      turn.note(BatchLogEvent.OWNER_SEEN, seen.vm(), seen.epoch(), seen.kind());
    }
    if (epoch.isPresent() && seen.epoch() > epoch.getAsLong()) {
      lose(turn, "a claim of " + seen.vm());
    }
    boolean ownClaim = seen.kind() == OwnerRecord.Kind.CLAIM && bySelf(seen);
    if (ownClaim && epoch.isEmpty() && !retired) {
      win(seen.epoch(), turn);
    }
  }

  /** Takes in that the stream could not be read: silence counts anew from here. */
  public void unreadable(BatchTurn turn) {
    readable = false;
    pace.unreadable(turn);
    quietFromNow(false, turn);
  }

  private void quietFromNow(boolean heard, BatchTurn turn) {
    quietSince = turn.nowNanos();
    quietSinceHeard = heard;
  }

  /** Returns the owner to tell others: this VM, or the one that it knows. */
  public Optional<OwnerHint> hint() {
    if (epoch.isPresent()) {
      return Optional.of(new OwnerHint(self.vm(), epoch.getAsLong(), self.address()));
    }
    return owner().map(known -> new OwnerHint(known.vm(), known.epoch(), known.address()));
  }

  /**
   * Takes a peer's word for a newer owner. It matters while this VM cannot read the stream itself;
   * what it reads later counts more.
   */
  public void hinted(OwnerHint hint, BatchTurn turn) {
    long known = Math.max(epoch.orElse(0), newest.map(OwnerRecord::epoch).orElse(0L));
    if (hint.epoch() <= known || hint.vm().equals(self.vm())) {
      return;
    }
    long offset = newest.map(OwnerRecord::offset).orElse(BEFORE_FIRST);
    newest = Optional.of(OwnerRecord.ofPeersWord(hint, offset));
    quietFromNow(false, turn);
    doubtedAt = OptionalLong.empty();
    turn.note(BatchLogEvent.OWNER_SEEN, hint.vm(), hint.epoch(), "peer's word");
    if (epoch.isPresent()) {
      lose(turn, "a peer knows " + hint.vm() + " at epoch " + hint.epoch());
    }
  }

  /** Takes in that the owner has shown that it does not decide at present. */
  public void doubted(BatchTurn turn) {
    if (epoch.isEmpty()) {
      doubtedAt = OptionalLong.of(turn.nowNanos());
    }
  }

  /** Claims or sends a heartbeat if it is time. */
  public void step(BatchTurn turn) {
    if (appending.present(turn) || turn.nowNanos() - nextAppendAt < 0) {
      return;
    }
    if (epoch.isPresent()) {
      OwnerRecord.Kind wanted =
          retired || yielding ? OwnerRecord.Kind.RELEASE : OwnerRecord.Kind.HEARTBEAT;
      append(unsettled.orElse(wanted), OptionalLong.empty(), turn);
      return;
    }
    if (!retired && end.isPresent() && ownerGone(turn)) {
      claim(turn);
    }
  }

  /**
   * Returns how long no claim can become due while nothing new is heard; zero if one may be due
   * now, or if this VM owns.
   *
   * @param nowNanos monotonic time
   */
  public Duration calmFor(long nowNanos) {
    boolean another =
        owner()
            .filter(owner -> !owner.vm().equals(self.vm()))
            .filter(owner -> !ProcessingPower.muchStronger(self.milliCores(), owner.milliCores()))
            .isPresent();
    if (epoch.isPresent() || !another) {
      return Duration.ZERO;
    }
    return OwnershipTimeouts.calmFor(nowNanos - quietSince);
  }

  private boolean ownerGone(BatchTurn turn) {
    if (newest.isEmpty()) {
      return true;
    }
    OwnerRecord owner = newest.get();
    boolean formerStart = owner.vm().equals(self.vm()) && !bySelf(owner);
    boolean yielded =
        yieldedAt.isPresent() && turn.nowNanos() - yieldedAt.getAsLong() < YIELD_NANOS;
    boolean displaces =
        readable && ProcessingPower.muchStronger(self.milliCores(), owner.milliCores());
    if (formerStart || (displaces && !yielded)) {
      return true;
    }
    boolean released = owner.kind() == OwnerRecord.Kind.RELEASE;
    boolean weaker = ProcessingPower.muchStronger(owner.milliCores(), self.milliCores());
    long patience =
        (released ? 0 : patienceNanos(turn))
            + (weaker ? WEAKER_WAIT_NANOS : 0)
            + (yielded ? YIELD_WAIT_NANOS : 0);
    return patience == 0 || (turn.nowNanos() - quietSince > patience && !pace.readLate(turn));
  }

  private long patienceNanos(BatchTurn turn) {
    boolean doubted =
        doubtedAt.isPresent() && turn.nowNanos() - doubtedAt.getAsLong() < DOUBT_NANOS;
    return doubted ? pace.doubtedSilenceNanos(turn) : pace.silenceNanos(turn);
  }

  private void claim(BatchTurn turn) {
    sequence = claimSequence;
    settled();
    append(OwnerRecord.Kind.CLAIM, end, turn);
  }

  private void append(OwnerRecord.Kind kind, OptionalLong expectedEnd, BatchTurn turn) {
    appending.begin(turn);
    sentAt = turn.nowNanos();
    if (unsettled.isEmpty()) {
      heartbeatSentAt = turn.nowNanos();
    }
    // What is still unsettled had no outcome, or one that leaves it open.
    unsettledUnsure = unsettled.isPresent();
    unsettled = Optional.of(kind);
    long appendEpoch = epoch.orElseGet(() -> expectedEnd.getAsLong() + 1);
    OwnerRecord record =
        new OwnerRecord(
            kind, self.vm(), self.incarnation(), self.address(), appendEpoch, 0, self.milliCores());
    KeyedRecord keyed = new KeyedRecord(OwnerCodec.KEY, Optional.of(OwnerCodec.encode(record)));
    turn.add(
        new BatchCommand.Append(
            StreamName.OWNERSHIP,
            new WriterPosition(appendEpoch, sequence),
            expectedEnd,
            List.of(keyed)));
  }

  /** Takes the outcome of a claim or a heartbeat. */
  public void answered(WriterPosition position, AppendOutcome outcome, BatchTurn turn) {
    appending.end();
    if (outcome.ofTheStore()) {
      pace.appended(turn.nowNanos() - sentAt, turn);
    }
    boolean claimed = position.sequence() == claimSequence;
    switch (outcome) {
      case AppendOutcome.Stored stored -> stored(position, claimed, turn);
      case AppendOutcome.Refused refused -> {
        unsettled = unsettledUnsure ? unsettled : Optional.empty();
        nextAppendAt = turn.nowNanos() + RETRY_NANOS;
      }
      case AppendOutcome.Unanswered unanswered -> {
        unsettledUnsure = true;
        nextAppendAt = turn.nowNanos() + (claimed ? pace.claimPauseNanos(turn) : RETRY_NANOS);
      }
      case AppendOutcome.Fenced fenced -> refusedForGood(position, "a higher epoch", turn);
      case AppendOutcome.Conflict conflict -> refusedForGood(position, "a later record", turn);
      case AppendOutcome.OutOfSequence _ -> refusedForGood(position, "another sequence", turn);
    }
  }

  private void stored(WriterPosition position, boolean claimed, BatchTurn turn) {
    if (claimed && epoch.isEmpty() && !retired) {
      win(position.epoch(), turn);
    }
    if (epoch.isEmpty() || epoch.getAsLong() != position.epoch()) {
      return;
    }
    boolean released = unsettled.equals(Optional.of(OwnerRecord.Kind.RELEASE));
    settled();
    confirmedAt = OptionalLong.of(heartbeatSentAt);
    sequence = position.sequence() + 1;
    boolean ending = retired || yielding;
    nextAppendAt = ending ? turn.nowNanos() : heartbeatSentAt + OwnershipTimeouts.HEARTBEAT_NANOS;
    if (released) {
      lose(turn, retired ? "this VM stops" : "this VM could not begin to decide");
    }
  }

  private void settled() {
    unsettled = Optional.empty();
    unsettledUnsure = false;
  }

  private void refusedForGood(WriterPosition position, String cause, BatchTurn turn) {
    // Another claim has come first; its record is read before this VM may claim again.
    nextAppendAt = turn.nowNanos() + pace.claimPauseNanos(turn);
    quietFromNow(false, turn);
    if (epoch.isPresent() && epoch.getAsLong() == position.epoch()) {
      lose(turn, cause);
    }
  }

  private void win(long won, BatchTurn turn) {
    settled();
    epoch = OptionalLong.of(won);
    sequence = claimSequence + 1;
    confirmedAt = OptionalLong.of(heartbeatSentAt);
    // Others have heard nothing since the claim was sent, which a slow store takes long for.
    nextAppendAt = heartbeatSentAt + OwnershipTimeouts.HEARTBEAT_NANOS;
    turn.note(BatchLogEvent.OWNERSHIP_WON, won);
  }

  private void lose(BatchTurn turn, String cause) {
    turn.note(BatchLogEvent.OWNERSHIP_LOST, epoch.orElse(0), cause);
    if (yielding) {
      yielding = false;
      yieldedAt = OptionalLong.of(turn.nowNanos());
    }
    settled();
    epoch = OptionalLong.empty();
    confirmedAt = OptionalLong.empty();
    quietFromNow(false, turn);
  }

  /** Ownership was lost in another stream, or is given up for a fault. */
  public void abandon(String cause, BatchTurn turn) {
    if (epoch.isPresent()) {
      lose(turn, cause);
    }
  }

  /**
   * Gives ownership up, so that another VM claims at once, and claims later only where none does.
   * Its heartbeats would keep the others from claiming while it decides nothing.
   */
  public void yield(BatchTurn turn) {
    if (epoch.isPresent() && !yielding) {
      yielding = true;
      nextAppendAt = turn.nowNanos();
    }
  }

  /** Gives ownership up for good, so that another VM claims at once. */
  public void retire(BatchTurn turn) {
    retired = true;
    nextAppendAt = turn.nowNanos();
    step(turn);
  }

  private boolean bySelf(OwnerRecord record) {
    return record.by(self.vm(), self.incarnation());
  }
}
