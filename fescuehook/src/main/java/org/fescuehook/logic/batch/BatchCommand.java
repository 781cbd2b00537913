package org.fescuehook.logic.batch;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.maintenance.WaveState;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.batch.WaveId;
import org.fescuehook.model.event.NumberedEvent;
import org.fescuehook.model.fleet.ExecutorId;

/** A side effect that {@link BatchCore} requests from the process around it. */
public sealed interface BatchCommand {

  /** Answers a call; the ticket is the one that came with the call. */
  record Answer(long ticket, CallAnswer answer) implements BatchCommand {}

  /**
   * Appends records to a stream; the outcome is reported as {@link BatchEvent.Appended}.
   *
   * @param expectedEnd offset at which the stream must end for the append to succeed; empty for an
   *     append without this condition
   */
  record Append(
      StreamName stream,
      WriterPosition position,
      OptionalLong expectedEnd,
      List<KeyedRecord> records)
      implements BatchCommand {}

  /**
   * Reads one page of the job stream, which holds the newest record of each key.
   *
   * @param epoch epoch of the takeover that requests the page; {@link BatchEvent.StateRead} and
   *     {@link BatchEvent.StateUnreadable} repeat it
   * @param afterKey where the page begins, from the page before it; empty for the first page
   */
  record LoadState(long epoch, Optional<String> afterKey) implements BatchCommand {}

  /** Starts or stops following the list of executors, which only the owner needs. */
  record FollowExecutors(boolean following) implements BatchCommand {}

  /**
   * Sends an order to an executor; the outcome is reported as {@link BatchEvent.OrderEnded}.
   *
   * @param number number of the order, unique over all epochs
   * @param fenceToken the executor rejects the order if it has seen a higher token
   * @param timeout how long the answer is awaited
   */
  record Order(
      ExecutorProfile executor, long number, long fenceToken, ExecutorOrder order, Duration timeout)
      implements BatchCommand {}

  /**
   * Asks the advice service which executors may run a step; the outcome is reported as {@link
   * BatchEvent.AdviceEnded}.
   *
   * @param number number of the request, unique over all epochs
   * @param step name of the step
   */
  record AskAdvice(long number, String step, List<ExecutorId> executors) implements BatchCommand {}

  /**
   * Tries to connect to executors; the outcome is reported as {@link BatchEvent.ExecutorsProbed}.
   *
   * @param number number of the probe, rising
   */
  record ProbeExecutors(long number, List<InetSocketAddress> addresses) implements BatchCommand {

    /** Copies the list. */
    public ProbeExecutors {
      addresses = List.copyOf(addresses);
    }
  }

  /**
   * Reads the list of machines; the outcome is reported as {@link BatchEvent.MachinesListed} or
   * {@link BatchEvent.MachinesUnreadable}.
   *
   * @param number number of the request, unique over all epochs
   */
  record ListMachines(long number) implements BatchCommand {}

  /**
   * Begins the maintenance of a machine; the outcome is reported as {@link
   * BatchEvent.MaintenanceCallEnded}.
   *
   * @param number number of the request, unique over all epochs
   * @param fenceToken the call is refused if one with a higher token has been made about the
   *     machine
   * @param timeout how long the answer is awaited
   * @param sendBy monotonic time after which the call is not sent, as there may be a newer owner
   */
  record BeginMaintenance(
      MachineId machine, WaveId wave, long number, long fenceToken, Duration timeout, long sendBy)
      implements BatchCommand {}

  /**
   * Writes the states of waves for operators; the outcome is reported as {@link
   * BatchEvent.Appended} of the stream of states.
   */
  record ReportWaves(WriterPosition position, Map<WaveId, WaveState> states)
      implements BatchCommand {}

  /** Closes the connections to an executor that the owner no longer uses. */
  record ForgetExecutor(ExecutorId executor) implements BatchCommand {}

  /** Logs an event. */
  record Note(NumberedEvent event, List<Object> arguments) implements BatchCommand {}

  /** Logs an event that operators should know about. */
  record Warning(NumberedEvent event, List<Object> arguments) implements BatchCommand {}

  /** Records a duration in a metric. */
  record Measure(String metric, String tag, String value, long nanos) implements BatchCommand {}

  /** Increments a counter. */
  record Count(String metric, String tag, String value) implements BatchCommand {}

  /** An order to an executor. */
  sealed interface ExecutorOrder {

    /**
     * Asks for the live and the ended runs of the executor, and renews the lease that all its runs
     * share.
     *
     * @param acknowledged sequence number of the last ended run that the owner has stored; the
     *     executor discards its reports up to this number
     * @param leaseUntilMillis new end of the lease by the executor's clock; empty to leave the
     *     lease as it is
     * @param waitMillis how long the executor may delay its answer until a run ends
     */
    record Poll(long acknowledged, OptionalLong leaseUntilMillis, long waitMillis)
        implements ExecutorOrder {}

    /**
     * Starts a run; idempotent.
     *
     * @param spec text of the submission, passed to the task unchanged
     * @param checkpoint saved progress to resume from; an empty string for none
     * @param ticket ticket of the advice service for this executor; empty where none is needed
     * @param leaseUntilMillis end of the lease by the executor's clock
     */
    record Start(
        TaskRun run, String spec, String checkpoint, Optional<String> ticket, long leaseUntilMillis)
        implements ExecutorOrder {}

    /**
     * Throttles a run to a share of its full speed; idempotent.
     *
     * @param percent 0 to 100
     */
    record Pace(TaskRun run, int percent) implements ExecutorOrder {}

    /** Stops a run, or keeps it from starting if its start arrives later; idempotent. */
    record Stop(TaskRun run) implements ExecutorOrder {}
  }
}
