package org.fescuehook.logic.control.ownership;

import java.time.Duration;
import java.util.Optional;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.OwnerClaim;
import org.fescuehook.wire.OwnerHeartbeat;
import org.fescuehook.wire.OwnerRelease;

/**
 * Claims ownership when the owner is silent, holds it by heartbeats, and gives it up when asked.
 */
public final class OwnerDuty {
  private final VmId vm;
  private final String incarnation;
  private final ControlPreferences preferences;
  private final RecordWriter writer;
  private final CatchUpTracker catchUp;
  private final PeerTracker peers;
  private long lastOwnerSeenNanos = Long.MIN_VALUE / 2;
  private long claimSequence;
  private long releaseSequence;
  private boolean handingOver;
  private long releasedAtRevision = Configuration.NO_REVISION;

  /** Creates the duty of a VM that owns nothing. */
  public OwnerDuty(
      VmId vm,
      String incarnation,
      ControlPreferences preferences,
      RecordWriter writer,
      CatchUpTracker catchUp,
      PeerTracker peers) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.preferences = preferences;
    this.writer = writer;
    this.catchUp = catchUp;
    this.peers = peers;
  }

  /** A record that counted under the epoch in force, or changed it, was read. */
  public void ownerSeen(DecisionContext context) {
    lastOwnerSeenNanos = context.nowNanos();
  }

  /** Tells whether this VM is the owner as far as it has read. */
  public boolean owns(ControlState state) {
    return state.ownedBy(vm, incarnation);
  }

  /** Tells whether this VM may decide now: it owns, has read to the end, and stays owner. */
  public boolean decides(ControlState state, DecisionContext context) {
    return owns(state) && !handingOver && catchUp.current(context);
  }

  /** Gives ownership up for good; this VM never claims again. */
  public void handOver() {
    handingOver = true;
  }

  /** Tells whether ownership was given up and nothing is left to do. */
  public boolean handedOver(ControlState state) {
    return handingOver && !owns(state);
  }

  /**
   * Claims, holds or releases ownership as is due. Implements {@code Claim}.
   *
   * @param compatibility how far this VM understands the state
   */
  public void step(ControlState state, LogCompatibility compatibility, DecisionContext context) {
    if (!catchUp.current(context)) {
      return;
    }
    if (owns(state)) {
      keepOwnership(state, compatibility, context);
      return;
    }
    boolean noClaimPending = !writer.isPending(claimSequence) && writer.hasCapacity(context);
    boolean mayClaim = !handingOver && compatibility != LogCompatibility.PARTIAL;
    if (mayClaim && noClaimPending && ownerTimedOut(state, compatibility, context)) {
      claim(state, context);
    }
  }

  /** A record on its way will show that the owner lives, so a slow log is not filled up. */
  private void keepOwnership(
      ControlState state, LogCompatibility compatibility, DecisionContext context) {
    if (handingOver || mustRelease(state, compatibility)) {
      releaseOnce(state, context);
      return;
    }
    boolean due = context.hasElapsed(writer.lastAppendNanos(), preferences.ownerHeartbeat());
    if (due && !writer.hasAppendInFlight() && writer.hasCapacity(context)) {
      writer.append(
          ControlRecord.newBuilder().setOwnerHeartbeat(OwnerHeartbeat.getDefaultInstance()),
          state.epoch(),
          context);
    }
  }

  /** An unreadable configuration is a reason to yield once: if nobody took over, nobody can. */
  private boolean mustRelease(ControlState state, LogCompatibility compatibility) {
    return switch (compatibility) {
      case WHOLE -> false;
      case PARTIAL -> true;
      case NO_CONFIGURATION -> releasedAtRevision != state.revision();
    };
  }

  /** Implements {@code HandOver}. */
  private void releaseOnce(ControlState state, DecisionContext context) {
    if (writer.isPending(releaseSequence) || !writer.hasCapacity(context)) {
      return;
    }
    releasedAtRevision = state.revision();
    context.note(ControlLogEvent.RELEASED_OWNERSHIP, state.epoch());
    releaseSequence =
        writer.append(
            ControlRecord.newBuilder().setOwnerRelease(OwnerRelease.getDefaultInstance()),
            state.epoch(),
            context);
  }

  private boolean ownerTimedOut(
      ControlState state, LogCompatibility compatibility, DecisionContext context) {
    Optional<VmId> owner = state.owner();
    long silentSinceNanos = Math.max(lastOwnerSeenNanos, catchUp.currentSinceNanos());
    Duration delay =
        compatibility == LogCompatibility.WHOLE
            ? Duration.ZERO
            : ControlLimits.UNREADABLE_CONFIGURATION_DELAY;
    if (owner.isEmpty()) {
      Duration stagger = preferences.claimStagger().multipliedBy(peers.rank(vm));
      return context.hasElapsed(silentSinceNanos, delay.plus(stagger));
    }
    Duration timeout = preferences.ownerTimeout().plus(delay);
    if (peers.reachesLog(owner.get())) {
      timeout = timeout.multipliedBy(ControlLimits.HEARD_OWNER_TIMEOUT_FACTOR);
    }
    Duration stagger = preferences.claimStagger().multipliedBy(peers.rank(owner.get()));
    return context.hasElapsed(silentSinceNanos, timeout.plus(stagger));
  }

  private void claim(ControlState state, DecisionContext context) {
    String owner = state.owner().map(VmId::value).orElse("none");
    context.note(ControlLogEvent.CLAIMING, state.epoch(), owner);
    context.count("fescuehook.control.claims");
    OwnerClaim body = OwnerClaim.newBuilder().setBasedOnEpochPlusOne(state.epoch() + 1).build();
    claimSequence = writer.append(ControlRecord.newBuilder().setOwnerClaim(body), context);
  }
}
