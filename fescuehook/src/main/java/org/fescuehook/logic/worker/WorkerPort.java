package org.fescuehook.logic.worker;

import java.util.List;
import org.fescuehook.model.fleet.WorkerId;

/**
 * Sends commands to workers. Calls return immediately. Each answer, or the failure to get one, is
 * passed as a {@link WorkerReply} to the sink given to the constructor of the implementation.
 */
public interface WorkerPort {

  /** Sends one command. */
  void send(WorkerId worker, WorkerCommand command);

  /** Commands to a worker. A member key is {@code <attempt>/<member number>}. */
  sealed interface WorkerCommand {

    /** Asks for a lease; the worker holds the resources and runs nothing. */
    record Grant(String key, int accelerators, int cores, long memoryMegabytes, long ttlMillis)
        implements WorkerCommand {}

    /** Starts the task of a lease; idempotent. */
    record Start(String lease, String job, String attempt, int member, String command)
        implements WorkerCommand {}

    /** Renews leases and asks for their states. */
    record Renew(List<String> leases, long ttlMillis) implements WorkerCommand {}

    /** Asks the task to save its progress and stop. */
    record Checkpoint(String lease) implements WorkerCommand {}

    /** Limits the task to a share of its resources, 1 to 100 percent. */
    record Throttle(String lease, int percent) implements WorkerCommand {}

    /** Stops the task and frees the resources. */
    record Release(String lease) implements WorkerCommand {}
  }

  /** State of a lease as reported by its worker. */
  enum LeaseState {
    HELD,
    RUNNING,
    CHECKPOINTED,
    FINISHED,
    FAILED,
    GONE
  }

  /** Answers of workers. */
  sealed interface WorkerReply {

    /** Returns the worker that the command went to. */
    WorkerId worker();

    /** The lease was granted. */
    record Granted(WorkerId worker, String key, String lease) implements WorkerReply {}

    /** The worker refused the lease because it does not have the resources. */
    record GrantRefused(WorkerId worker, String key, String reason) implements WorkerReply {}

    /** States of leases, in answer to a start, renewal, checkpoint, throttle or release. */
    record States(WorkerId worker, List<State> states) implements WorkerReply {}

    /** The worker did not answer; the command may nevertheless have taken effect. */
    record Silent(WorkerId worker, WorkerCommand command, String step) implements WorkerReply {}
  }

  /** State of one lease. */
  record State(String lease, LeaseState state, int exitCode) {}
}
