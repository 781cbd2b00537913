package org.fescuehook.standins.worker;

import java.util.Set;

/**
 * Faults of some workers.
 *
 * @param names whom they concern; empty for all
 * @param failTasks each task that is started fails at once
 * @param silent calls have no effect and no answer; leases lapse and tasks end all the same
 * @param frozen nothing is answered and nothing lapses or ends until the worker is thawed; what was
 *     due by then comes first
 * @param refuseGrants each request for a lease is refused
 * @param loseReplies calls take effect, and the connection is closed without an answer
 * @param ignoreCheckpoint a checkpoint is accepted and never done
 * @param checkpointMs milliseconds that a checkpoint takes
 * @param delayMs milliseconds before a call takes effect
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

  /** Workers that work; a checkpoint takes no time. */
  public static final WorkerFaults NONE =
      new WorkerFaults(Set.of(), false, false, false, false, false, false, 0, 0);

  boolean concerns(String name) {
    return names.isEmpty() || names.contains(name);
  }
}
