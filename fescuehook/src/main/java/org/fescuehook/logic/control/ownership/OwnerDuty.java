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

/** Claims ownership if the owner is silent, keeps it by heartbeats, and releases it on request. */
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

  /** Creates the duty of a VM that is not the owner. */
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

  /**
   * Records a sign of life of the owner: a record that took effect under the epoch in force, or
   * changed the epoch.
   */
  public void ownerSeen(DecisionContext context) {
    lastOwnerSeenNanos = context.nowNanos();
  }

  /** Returns whether this VM is the owner according to the records read so far. */
  public boolean owns(ControlState state) {
    return state.ownedBy(vm, incarnation);
  }

  /**
   * Returns whether this VM may decide now: it is the owner, has read to the end of the log, and is
   * not handing ownership over.
   */
  public boolean decides(ControlState state, DecisionContext context) {
    return owns(state) && !handingOver && catchUp.current(context);
  }

  /** Releases ownership for good; this process never claims it again. */
  public void handOver() {
    handingOver = true;
  }

  /** Returns whether a requested hand-over is complete. */
  public boolean handedOver(ControlState state) {
    return handingOver && !owns(state);
  }

  /**
   * Claims, keeps or releases ownership, whichever is due. Implements the action {@code Claim} of
   * the module Ownership.
   *
   * @param compatibility how much of the log this version can interpret
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

  /**
   * Appends a heartbeat if one is due. While another append is in flight none is added: that record
   * will show that the owner is alive, and a slow log is not loaded further.
   */
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

  /**
   * Returns whether this VM has to release ownership. Because of a configuration that cannot be
   * parsed it does so once per revision: if no other VM claims ownership then, none can parse the
   * configuration either.
   */
  private boolean mustRelease(ControlState state, LogCompatibility compatibility) {
    return switch (compatibility) {
      case WHOLE -> false;
      case PARTIAL -> true;
      case NO_CONFIGURATION -> releasedAtRevision != state.revision();
    };
  }

  /**
   * Releases ownership, unless a release is pending. Implements the action {@code HandOver} of the
   * module Ownership.
   */
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
