package org.fescuehook.standins.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.fescuehook.standins.StandInClient;
import org.fescuehook.standins.StandInLoops;
import org.junit.jupiter.api.Test;

class WorkerStandInsTest {
  private static final String GRANT =
      "{\"key\":\"j.1/0\",\"accelerators\":2,\"cores\":4,\"memoryMegabytes\":1024,\"ttlMs\":100}";

  @Test
  void aThawedWorkerExpiresDueLeasesBeforeItResponds() throws Exception {
    AtomicLong clock = new AtomicLong();
    var fleet = new WorkerStandIns.Fleet(1, 1, new Resources(8, 64, 4096), 0);
    try (StandInLoops loops = new StandInLoops();
        var workers = new WorkerStandIns(loops.group(), loops.anyPort(), fleet, clock::get, 100);
        var client = new StandInClient(workers.addresses().get("worker-1"))) {
      String lease = client.post("/leases", GRANT).body().replaceAll(".*:\"|\"}", "");
      workers.apply(frozen());
      var renewal = client.postLater("/renewals", "{\"leases\":[\"" + lease + "\"],\"ttlMs\":100}");
      StandInLoops.await(() -> workers.stats().heldBack() != 0);
      clock.set(1000);
      workers.apply(WorkerFaults.NONE);

      assertEquals("{\"states\":[],\"gone\":[\"" + lease + "\"]}", renewal.join().body());
      assertEquals(
          List.of(WorkerEvent.Kind.GRANTED, WorkerEvent.Kind.LAPSED),
          workers.journal().stream().map(WorkerEvent::kind).toList());
    }
  }

  private static WorkerFaults frozen() {
    return new WorkerFaults(Set.of(), false, false, true, false, false, false, 0, 0);
  }
}
