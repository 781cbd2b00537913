package org.fescuehook.logic.control.shares;

import java.util.SortedSet;
import java.util.TreeSet;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.ownership.PeerTracker;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.SlotShares;

/**
 * Publishes, on the owner, a new division of slots and connections when the entry VMs or the
 * executors change.
 */
public final class ShareDuty {
  private final RecordWriter writer;
  private final PeerTracker peers;
  private SortedSet<VmId> vms = new TreeSet<>();
  private long stableSinceNanos = Long.MIN_VALUE / 2;
  private long pendingSequence;

  /** Creates a duty that has not published a division. */
  public ShareDuty(RecordWriter writer, PeerTracker peers) {
    this.writer = writer;
    this.peers = peers;
  }

  /** Publishes a division if it differs from the one in the log and the set of VMs is stable. */
  public void step(ControlState state, Declarations declarations, DecisionContext context) {
    SortedSet<VmId> known = peers.known();
    if (!known.equals(vms)) {
      vms = known;
      stableSinceNanos = context.nowNanos();
    }
    boolean stable = context.hasElapsed(stableSinceNanos, ControlLimits.SHARE_DEBOUNCE_TIME);
    if (!stable || writer.isPending(pendingSequence) || !writer.hasCapacity(context)) {
      return;
    }
    SlotShares wanted =
        SlotShareDivider.divide(
            declarations.fleet().executors(),
            vms,
            (int) ControlLimits.SHARE_SETTLE_TIME.toMillis());
    if (state.shares().filter(wanted::equals).isPresent()) {
      stableSinceNanos = context.nowNanos();
      return;
    }
    context.note(ControlLogEvent.SHARES_PUBLISHED, declarations.fleet().executors().size(), vms);
    pendingSequence =
        writer.append(ControlRecord.newBuilder().setSlotShares(wanted), state.epoch(), context);
  }
}
