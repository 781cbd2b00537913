package org.fescuehook.standins.worker;

import java.util.List;

/** JSON bodies of the worker's requests and responses. */
final class WorkerMessages {
  private WorkerMessages() {}

  record Grant(String key, int accelerators, int cores, long memoryMegabytes, long ttlMs) {
    Resources resources() {
      return new Resources(accelerators, cores, memoryMegabytes);
    }
  }

  record Granted(String lease) {}

  record Start(String job, String attempt, int member, String command) {}

  record Renewal(List<String> leases, long ttlMs) {}

  record State(String lease, LeaseState state, int exitCode) {}

  record Renewed(List<State> states, List<String> gone) {}

  record Throttle(int percent) {}

  record LeaseUsage(
      String lease,
      String key,
      LeaseState state,
      int accelerators,
      int cores,
      long memoryMegabytes) {

    static LeaseUsage of(Lease lease) {
      Resources resources = lease.resources;
      return new LeaseUsage(
          lease.id,
          lease.key,
          lease.state,
          resources.accelerators(),
          resources.cores(),
          resources.memoryMegabytes());
    }
  }

  record Usage(
      long asOf, int accelerators, int cores, long memoryMegabytes, List<LeaseUsage> leases) {}

  record Failure(String error, String detail) {}

  record Empty() {}
}
