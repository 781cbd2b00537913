package org.fescuehook.logic.control.ownership;

import java.util.Optional;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.gang.GangMode;
import org.fescuehook.model.fleet.VmId;

/** Decides what a VM that does not decide may do for running gangs, above all in a log outage. */
public final class OutageMonitor {
  private final VmId self;
  private final CatchUpTracker catchUp;
  private final PeerTracker peers;
  private boolean outage;
  private long sinceNanos;

  /** Creates a watch that has seen no outage. */
  public OutageMonitor(VmId self, CatchUpTracker catchUp, PeerTracker peers) {
    this.self = self;
    this.catchUp = catchUp;
    this.peers = peers;
  }

  /** Notes the begin and end of an outage. */
  public void step(DecisionContext context) {
    boolean outageNow = catchUp.everCurrent() && catchUp.outage(context);
    if (outageNow == outage) {
      return;
    }
    outage = outageNow;
    if (outageNow) {
      sinceNanos = context.nowNanos();
      context.note(ControlLogEvent.LOG_LOST);
      context.count("fescuehook.control.log.lost");
    } else {
      context.note(ControlLogEvent.LOG_BACK, (context.nowNanos() - sinceNanos) / 1_000_000);
    }
  }

  /**
   * Returns what this VM may do while it does not decide. Its bound is {@code Ride}. Without the
   * log the owner goes on renewing. If the owner is not heard and nobody heard has the log, the
   * first VM by name renews in its place. Nobody renews for longer than the outage ride after its
   * last read, and a VM that is out for that long may have read that an attempt is being stopped
   * only then.
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
