package org.fescuehook.standins.worker;

import java.util.Set;

/**
 * Faults of some workers.
 *
 * @param names names of the affected workers; empty for all
 * @param failTasks whether each started task fails at once
 * @param silent whether requests have no effect and get no response; leases still expire and tasks
 *     still end
 * @param frozen whether the worker is suspended: requests wait, leases don't expire and tasks don't
 *     end. When the fault is cleared, the tasks and leases that are due end before the waiting
 *     requests are handled
 * @param refuseGrants whether each request for a lease is rejected
 * @param loseReplies whether requests take effect but their connection is closed without a response
 * @param ignoreCheckpoint whether checkpoint requests are accepted but never executed
 * @param checkpointMs milliseconds that a checkpoint takes
 * @param delayMs milliseconds before a request takes effect
 */
public record WorkerFaults(
    Set<String> names,
    boolean failTasks,
    boolean silent,
    boolean frozen,
    boolean refuseGrants,
    boolean loseReplies,
    boolean ignoreCheckpoint,
    long checkpointMs,
    long delayMs) {

  /** Workers without faults; a checkpoint takes no time. */
  public static final WorkerFaults NONE =
      new WorkerFaults(Set.of(), false, false, false, false, false, false, 0, 0);

  boolean concerns(String name) {
    return names.isEmpty() || names.contains(name);
  }
}
