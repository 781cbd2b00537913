package org.fescuehook.standins.worker;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Faults of some workers.
 *
 * @param names whom they concern; empty for all
 * @param failTasks each task that is started fails at once
 * @param silent requests have no effect and no answer; leases lapse and tasks end all the same
 * @param frozen nothing is answered and nothing lapses or ends until the worker is thawed; what
 *     was due by then comes first
 * @param refuseGrants each request for a lease is refused
 * @param loseReplies requests take effect, and the connection is closed without an answer
 * @param ignoreCheckpoint a checkpoint is accepted and never done
 * @param checkpointMs time that a checkpoint takes, in milliseconds
 * @param delayMs time before a request takes effect, in milliseconds
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

  /** Creates the faults; absent names are all workers. */
  public WorkerFaults(
      @Nullable Set<String> names,
      boolean failTasks,
      boolean silent,
      boolean frozen,
      boolean refuseGrants,
      boolean loseReplies,
      boolean ignoreCheckpoint,
      long checkpointMs,
      long delayMs) {
    this.names = names == null ? Set.of() : Set.copyOf(names);
    this.failTasks = failTasks;
    this.silent = silent;
    this.frozen = frozen;
    this.refuseGrants = refuseGrants;
    this.loseReplies = loseReplies;
    this.ignoreCheckpoint = ignoreCheckpoint;
    this.checkpointMs = checkpointMs;
    this.delayMs = delayMs;
  }

  /** Returns workers that work; a checkpoint takes no time. */
  public static WorkerFaults none() {
    return new WorkerFaults(Set.of(), false, false, false, false, false, false, 0, 0);
  }

  boolean concerns(String name) {
    return names.isEmpty() || names.contains(name);
  }
}
