package org.fescuehook.logic.batch;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.advice.AdviceOutcome;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.maintenance.MaintenanceOutcome;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.logic.batch.ownership.OwnerRecord;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.Machine;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.MaintenanceWave;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;

/** An event that {@link BatchCore} applies. */
public sealed interface BatchEvent {

  /**
   * A call came in; exactly one {@link BatchCommand.Answer} with the same ticket follows.
   *
   * @param patience how long the caller waits for the answer
   */
  record Called(long ticket, BatchCall call, Duration patience) implements BatchEvent {}

  /** A configuration was read; it is ignored unless it is newer than the one in force. */
  record ConfigurationRead(BatchConfiguration configuration) implements BatchEvent {}

  /**
   * The evacuated failure domains were read. Operators evacuate a failure domain so that no run
   * starts there until they give it back; runs that are alive there continue.
   *
   * @param domains all evacuated failure domains, which replace those known so far
   * @param streamEnd offset after the last record that was read of the operators' stream
   * @param unreadNanos time since the previous read of that stream, which bounds the age of a
   *     change; empty for the first read
   */
  record EvacuationsRead(Set<FailureDomain> domains, long streamEnd, OptionalLong unreadNanos)
      implements BatchEvent {

    /** Copies the set. */
    public EvacuationsRead {
      domains = Set.copyOf(domains);
    }
  }

  /**
   * The operators' stream was read to its end; configurations and evacuations that the read
   * returned have been reported before.
   *
   * @param sentAt when the read was sent, monotonic time; later changes may be missing
   */
  record OperatorsRead(long sentAt) implements BatchEvent {}

  /** An append ended, see {@link BatchCommand.Append}. */
  record Appended(StreamName stream, WriterPosition position, AppendOutcome outcome)
      implements BatchEvent {}

  /**
   * The ownership stream was read to its end.
   *
   * @param newest newest record that this read returned; empty if it returned none
   * @param end offset after the last record of the stream
   */
  record OwnershipRead(Optional<OwnerRecord> newest, long end) implements BatchEvent {}

  /** The ownership stream could not be read. */
  record OwnershipUnreadable() implements BatchEvent {}

  /**
   * The owner reported that it cannot reach the store, or a connection to it failed. It may then be
   * replaced sooner than after missing heartbeats alone.
   */
  record OwnerDoubted() implements BatchEvent {}

  /** A peer reported the owner that it knows. */
  record OwnerHinted(OwnerHint hint) implements BatchEvent {}

  /**
   * A page of the job stream was read, see {@link BatchCommand.LoadState}.
   *
   * @param epoch epoch of the takeover that requested the page
   * @param more key after which the next page begins; empty on the last page
   */
  record StateRead(long epoch, List<KeyedRecord> records, Optional<String> more)
      implements BatchEvent {}

  /**
   * A page of the job stream could not be read.
   *
   * @param epoch epoch of the takeover that requested the page
   */
  record StateUnreadable(long epoch) implements BatchEvent {}

  /** An executor was added to the list of executors, or rewrote its entry. */
  record ExecutorSeen(ExecutorProfile profile) implements BatchEvent {}

  /** An executor was removed from the list of executors. */
  record ExecutorUnlisted(ExecutorId executor) implements BatchEvent {}

  /** The whole list of executors was read; it replaces the one known so far. */
  record ExecutorsListed(List<ExecutorProfile> profiles) implements BatchEvent {}

  /** An order to an executor ended, see {@link BatchCommand.Order}. */
  record OrderEnded(ExecutorId executor, long number, OrderOutcome outcome) implements BatchEvent {}

  /** A request to the advice service ended, see {@link BatchCommand.AskAdvice}. */
  record AdviceEnded(long number, AdviceOutcome outcome) implements BatchEvent {}

  /**
   * A probe of executors ended, see {@link BatchCommand.ProbeExecutors}.
   *
   * @param reached addresses at which a connection could be opened
   */
  record ExecutorsProbed(long number, Set<InetSocketAddress> reached) implements BatchEvent {

    /** Copies the set. */
    public ExecutorsProbed {
      reached = Set.copyOf(reached);
    }
  }

  /** The maintenance waves that operators ask for were read; they replace those known so far. */
  record WavesRead(List<MaintenanceWave> waves) implements BatchEvent {

    /** Copies the list. */
    public WavesRead {
      waves = List.copyOf(waves);
    }
  }

  /** The list of machines was read, see {@link BatchCommand.ListMachines}. */
  record MachinesListed(long number, List<Machine> machines) implements BatchEvent {}

  /** The list of machines could not be read, see {@link BatchCommand.ListMachines}. */
  record MachinesUnreadable(long number, String cause) implements BatchEvent {}

  /** A maintenance call ended, see {@link BatchCommand.BeginMaintenance}. */
  record MaintenanceCallEnded(MachineId machine, long number, MaintenanceOutcome outcome)
      implements BatchEvent {}

  /** This VM is shutting down and has to give up ownership. */
  record StopBegun() implements BatchEvent {}

  /** Time passed; sent at regular intervals. */
  record Tick() implements BatchEvent {}
}
