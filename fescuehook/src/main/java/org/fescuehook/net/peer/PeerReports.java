package org.fescuehook.net.peer;

import org.fescuehook.logic.membership.PeerReport;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.Heartbeat;
import org.fescuehook.wire.Hello;

/** Converts messages of peers to reports. */
final class PeerReports {

  private PeerReports() {}

  /** Returns the report of a heartbeat on a connection that began with the given hello. */
  static PeerReport of(Hello hello, Heartbeat heartbeat) {
    return new PeerReport(
        new VmId(hello.getVm()),
        hello.getIncarnation(),
        heartbeat.getControlNext(),
        heartbeat.getRevisionPlusOne() - 1,
        heartbeat.getLogReachable(),
        heartbeat.getDraining());
  }
}
