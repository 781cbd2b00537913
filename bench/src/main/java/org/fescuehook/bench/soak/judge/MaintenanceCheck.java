package org.fescuehook.bench.soak.judge;

import java.util.HashMap;
import java.util.Map;
import org.fescuehook.standins.platform.MachineCall;

/** Checks the maintenance of machines by the record of the API that carried it out. */
final class MaintenanceCheck {

  /** Time after a call about a machine in which no other process may make one. */
  private static final long HOLDER_MILLIS = 3000;

  private final History history;
  private final Findings findings;

  MaintenanceCheck(History history, Findings findings) {
    this.history = history;
    this.findings = findings;
  }

  void check() {
    Map<Integer, MachineCall> before = new HashMap<>();
    for (MachineCall call : history.machineCalls()) {
      // A wave that was withdrawn when a call was refused has no cap any more.
      if (call.outcome().equals("begun")) {
        findings.check(Promise.MAINTENANCE_CAP, call.away() <= call.cap(), call.toString());
      }
      MachineCall last = before.put(call.machine(), call);
      if (last != null) {
        boolean sameHolder = last.holder().equals(call.holder());
        boolean allowed =
            call.token() >= last.token() && (sameHolder || call.at() - last.at() >= HOLDER_MILLIS);
        findings.check(Promise.MAINTENANCE_TOKEN, allowed, last + " before " + call);
      }
    }
  }
}
