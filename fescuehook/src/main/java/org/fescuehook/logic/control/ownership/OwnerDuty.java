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
  private final CatchUpTracker reader;
  private final PeerTracker peers;
  private long lastSignNanos = Long.MIN_VALUE / 2;
  private long claim;
  private long release;
  private boolean handingOver;
  private long yieldedRevision = Configuration.NO_REVISION;

  /** Creates the duty of a VM that owns nothing. */
  public OwnerDuty(
      VmId vm,
      String incarnation,
      ControlPreferences preferences,
      RecordWriter writer,
      CatchUpTracker reader,
      PeerTracker peers) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.preferences = preferences;
    this.writer = writer;
    this.reader = reader;
    this.peers = peers;
  }

  /** A record that counted under the epoch in force, or changed it, was read. */
  public void sign(DecisionContext turn) {
    lastSignNanos = turn.now();
  }

  /** Tells whether this VM is the owner as far as it has read. */
  public boolean owns(ControlState state) {
    return state.ownedBy(vm, incarnation);
  }

  /** Tells whether this VM may decide now: it owns, has read to the end, and stays owner. */
  public boolean decides(ControlState state, DecisionContext turn) {
    return owns(state) && !handingOver && reader.current(turn);
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
   * @param understanding how far this VM understands the state
   */
  public void step(ControlState state, LogCompatibility understanding, DecisionContext turn) {
    if (!reader.current(turn)) {
      return;
    }
    if (owns(state)) {
      hold(state, understanding, turn);
      return;
    }
    boolean free = !writer.isUnread(claim) && writer.hasRoom(turn);
    boolean may = !handingOver && understanding != LogCompatibility.PARTIAL;
    if (may && free && silent(state, understanding, turn)) {
      claim(state, turn);
    }
  }

  /** A record on its way will show that the owner lives, so a slow log is not filled up. */
  private void hold(ControlState state, LogCompatibility understanding, DecisionContext turn) {
    if (handingOver || yields(state, understanding)) {
      releaseOnce(state, turn);
      return;
    }
    boolean due = turn.passed(writer.lastAppendNanos(), preferences.ownerHeartbeat());
    if (due && !writer.onItsWay() && writer.hasRoom(turn)) {
      writer.append(
          ControlRecord.newBuilder().setOwnerHeartbeat(OwnerHeartbeat.getDefaultInstance()),
          state.epoch(),
          turn);
    }
  }

  /** An unreadable configuration is a reason to yield once: if nobody took over, nobody can. */
  private boolean yields(ControlState state, LogCompatibility understanding) {
    return switch (understanding) {
      case WHOLE -> false;
      case PARTIAL -> true;
      case NO_CONFIGURATION -> yieldedRevision != state.revision();
    };
  }

  /** Implements {@code HandOver}. */
  private void releaseOnce(ControlState state, DecisionContext turn) {
    if (writer.isUnread(release) || !writer.hasRoom(turn)) {
      return;
    }
    yieldedRevision = state.revision();
    turn.note(ControlLogEvent.RELEASED_OWNERSHIP, state.epoch());
    release =
        writer.append(
            ControlRecord.newBuilder().setOwnerRelease(OwnerRelease.getDefaultInstance()),
            state.epoch(),
            turn);
  }

  private boolean silent(ControlState state, LogCompatibility understanding, DecisionContext turn) {
    Optional<VmId> owner = state.owner();
    long since = Math.max(lastSignNanos, reader.currentSince());
    Duration delay =
        understanding == LogCompatibility.WHOLE ? Duration.ZERO : ControlLimits.UNREADABLE_DELAY;
    if (owner.isEmpty()) {
      Duration stagger = preferences.claimStagger().multipliedBy(peers.rank(vm));
      return turn.passed(since, delay.plus(stagger));
    }
    Duration timeout = preferences.ownerTimeout().plus(delay);
    if (peers.reachesLog(owner.get())) {
      timeout = timeout.multipliedBy(ControlLimits.HEARD_OWNER_FACTOR);
    }
    Duration stagger = preferences.claimStagger().multipliedBy(peers.rank(owner.get()));
    return turn.passed(since, timeout.plus(stagger));
  }

  private void claim(ControlState state, DecisionContext turn) {
    String owner = state.owner().map(VmId::value).orElse("none");
    turn.note(ControlLogEvent.CLAIMING, state.epoch(), owner);
    turn.count("fescuehook.control.claims");
    OwnerClaim body = OwnerClaim.newBuilder().setBasedOnEpochPlusOne(state.epoch() + 1).build();
    claim = writer.append(ControlRecord.newBuilder().setOwnerClaim(body), turn);
  }
}
