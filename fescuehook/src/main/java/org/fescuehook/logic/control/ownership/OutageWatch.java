package org.fescuehook.logic.control.ownership;

import java.util.Optional;
import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.Turn;
import org.fescuehook.logic.control.gang.Mode;
import org.fescuehook.model.fleet.VmId;

/** Decides what a VM that does not decide may do for running gangs, above all in a log outage. */
public final class OutageWatch {
  private final VmId self;
  private final ReaderWatch reader;
  private final PeerWatch peers;
  private boolean outage;
  private long sinceNanos;

  /** Creates a watch that has seen no outage. */
  public OutageWatch(VmId self, ReaderWatch reader, PeerWatch peers) {
    this.self = self;
    this.reader = reader;
    this.peers = peers;
  }

  /** Notes the begin and end of an outage. */
  public void step(Turn turn) {
    boolean now = reader.everCurrent() && reader.outage(turn);
    if (now == outage) {
      return;
    }
    outage = now;
    if (now) {
      sinceNanos = turn.now();
      turn.note(ControlLogEvent.LOG_LOST);
      turn.count("fescuehook.control.log.lost");
    } else {
      turn.note(ControlLogEvent.LOG_BACK, (turn.now() - sinceNanos) / 1_000_000);
    }
  }

  /**
   * Returns what this VM may do while it does not decide. Its bound is {@code Ride}. Without the
   * log the owner goes on renewing. If the owner is not heard and nobody heard has the log, the
   * first VM by name renews in its place. Nobody renews for longer than the outage ride after its
   * last read, and a VM that is out for that long may have read that an attempt is being stopped
   * only then.
   */
  public Mode mode(Optional<VmId> owner, boolean owns, Turn turn) {
    boolean ride = !turn.passed(reader.lastReadNanos(), ControlLimits.OUTAGE_RIDE);
    if (!outage) {
      return owns ? Mode.READ : Mode.OFF;
    }
    if (!reader.everCurrent() || !ride) {
      return Mode.OFF;
    }
    if (owns) {
      return Mode.RENEW;
    }
    return standsIn(owner) ? Mode.RENEW : Mode.OFF;
  }

  private boolean standsIn(Optional<VmId> owner) {
    if (owner.isEmpty()) {
      return peers.rank(self) == 0 && !peers.anyReachesLog();
    }
    boolean heard = peers.alive(owner.get());
    return !heard && !peers.anyReachesLog() && peers.rank(owner.get()) == 0;
  }
}
