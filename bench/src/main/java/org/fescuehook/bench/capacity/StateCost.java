package org.fescuehook.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.List;
import org.fescuehook.logic.control.ControlCore;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.logic.scheduling.GuaranteeScheduler;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.IdentityPreferences;

/** Measures the folded state of a stand-by: heap, processor time and bytes in the log. */
final class StateCost {
  private static final IdentityPreferences IDENTITY =
      new IdentityPreferences(new VmId("entry-2"), new FailureDomain("d-1"));

  private static final int RUNS = 21;

  private final CpuClock clock;

  StateCost(CpuClock clock) {
    this.clock = clock;
  }

  /**
   * Cost of one size.
   *
   * @param heapKilobytes live heap of the folded state, in units of 1,000 bytes
   * @param foldMillis processor time of folding all records
   * @param logKilobytes bytes of the records
   */
  record Cost(double heapKilobytes, double foldMillis, double logKilobytes) {}

  Cost of(FleetOfSize fleet) throws Exception {
    List<LogRecord> records = RecordFeed.of(fleet);
    Declarations declarations = fleet.declarations();
    double micros = clock.medianMicros(RUNS, () -> feed(core(declarations), records));
    long before = liveHeap();
    ControlCore core = core(declarations);
    feed(core, records);
    double heap = liveHeap() - (double) before;
    Reference.reachabilityFence(core);
    Reference.reachabilityFence(records);
    double bytes = records.stream().mapToLong(r -> r.data().length).sum();
    return new Cost(heap / 1e3, micros / 1e3, bytes / 1e3);
  }

  private static ControlCore core(Declarations declarations) {
    return new ControlCore(
        IDENTITY, "b", ControlPreferences.DEFAULT, new GuaranteeScheduler(), text -> declarations);
  }

  private static void feed(ControlCore core, List<LogRecord> records) {
    long nanos = 0;
    for (LogRecord record : records) {
      core.apply(new ControlEvent.RecordRead(record), nanos, record.appendedMillis());
      nanos += 1000;
    }
    core.apply(new ControlEvent.CaughtUp(0, records.size()), nanos, 0);
  }

  private static long liveHeap() {
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 4; i++) {
      System.gc();
      least = Math.min(least, ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
    }
    return least;
  }
}
