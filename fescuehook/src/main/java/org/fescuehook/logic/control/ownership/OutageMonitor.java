package org.fescuehook.logic.control.ownership;

import java.util.Optional;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.gang.GangMode;
import org.fescuehook.model.fleet.VmId;

/**
 * Detects outages of the log, and determines what a VM that does not decide may do for running
 * gangs.
 */
public final class OutageMonitor {
  private final VmId self;
  private final CatchUpTracker catchUp;
  private final PeerTracker peers;
  private boolean outage;
  private long outageStartNanos;

  /** Creates a monitor that has seen no outage. */
  public OutageMonitor(VmId self, CatchUpTracker catchUp, PeerTracker peers) {
    this.self = self;
    this.catchUp = catchUp;
    this.peers = peers;
  }

  /** Detects and logs the begin and the end of an outage. */
  public void step(DecisionContext context) {
    boolean outageNow = catchUp.everCurrent() && catchUp.outage(context);
    if (outageNow == outage) {
      return;
    }
    outage = outageNow;
    if (outageNow) {
      outageStartNanos = context.nowNanos();
      context.note(ControlLogEvent.LOG_LOST);
      context.count("fescuehook.control.log.lost");
    } else {
      context.note(ControlLogEvent.LOG_BACK, (context.nowNanos() - outageStartNanos) / 1_000_000);
    }
  }

  /**
   * Returns what this VM may do while it does not decide. During an outage the owner goes on
   * renewing leases. If the owner is not heard and no peer that is heard reaches the log, the first
   * VM by name renews in its place. No VM renews for longer than {@link
   * ControlLimits#OUTAGE_RENEWAL_LIMIT} after its last read, because a VM without the log does not
   * learn that an attempt is being stopped. That limit is {@code Ride} in the module SilentWorker.
   */
  public GangMode mode(Optional<VmId> owner, boolean owns, DecisionContext context) {
    boolean mayRenew =
        !context.hasElapsed(catchUp.lastReadNanos(), ControlLimits.OUTAGE_RENEWAL_LIMIT);
    if (!outage) {
      return owns ? GangMode.READ : GangMode.OFF;
    }
    if (!catchUp.everCurrent() || !mayRenew) {
      return GangMode.OFF;
    }
    if (owns) {
      return GangMode.RENEW;
    }
    return renewsForOwner(owner) ? GangMode.RENEW : GangMode.OFF;
  }

  private boolean renewsForOwner(Optional<VmId> owner) {
    if (owner.isEmpty()) {
      return peers.rank(self) == 0 && !peers.anyReachesLog();
    }
    boolean heard = peers.alive(owner.get());
    return !heard && !peers.anyReachesLog() && peers.rank(owner.get()) == 0;
  }
}
