package org.fescuehook.logic.batch.maintenance;

import java.time.Duration;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.EpochNumbers;
import org.fescuehook.logic.batch.executor.ExecutorRegistry;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.maintenance.MachineProgress.Stage;
import org.fescuehook.logic.batch.maintenance.MaintenanceOutcome.Reason;
import org.fescuehook.model.batch.Machine;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * Calls the maintenance of machines whose executors are idle. That a call is about to be made is
 * stored first, so that a successor counts the machine as away.
 */
final class MachineCaller {

  /** Time limit of the first call; a repeated call finds the machine still away if it worked. */
  private static final long FIRST_TIMEOUT_MILLIS = 1000;

  private static final long MAX_TIMEOUT_MILLIS = 5000;

  private static final long RETRY_NANOS = Duration.ofMillis(250).toNanos();

  /** Pause after which a machine that could not be maintained is chosen again. */
  private static final long REOPEN_NANOS = Duration.ofSeconds(1).toNanos();

  /** Calls in a row that could not be sent, after which the executor is used again. */
  private static final int MAX_UNSENT = 8;

  /**
   * Time after which an executor that has never answered this owner counts as idle if no run of it
   * is known. Executors of pools without jobs are not polled.
   */
  private static final long NEVER_POLLED_NANOS = Duration.ofSeconds(5).toNanos();

  /** The same for one that is not in the list of executors; leases of a former owner are over. */
  private static final long UNLISTED_NANOS = Duration.ofSeconds(20).toNanos();

  private final long epoch;
  private final WaveRegistry waves;
  private final MachineReader reader;
  private final ExecutorRegistry executors;
  private final CallLimit limit;
  private long number;
  private boolean fenced;
  private long sendBy;

  MachineCaller(
      long epoch,
      WaveRegistry waves,
      MachineReader reader,
      ExecutorRegistry executors,
      double callsPerSecond) {
    this.epoch = epoch;
    this.waves = waves;
    this.reader = reader;
    this.executors = executors;
    this.limit = new CallLimit(callsPerSecond);
    this.number = EpochNumbers.before(epoch);
  }

  /** Tells whether a call was refused because of a higher token, so that no other is made. */
  boolean fenced() {
    return fenced;
  }

  /**
   * Prepares and sends the calls that are possible now.
   *
   * @param latestSend monotonic time after which a call must not leave this process
   */
  void step(long latestSend, BatchContext context) {
    sendBy = latestSend;
    if (fenced) {
      releaseUncalled(context);
      return;
    }
    for (WaveProgress wave : waves.open(context)) {
      for (MachineProgress machine : wave.in(Stage.CLOSED)) {
        boolean ready = idleAndUp(machine, context) && reader.fresh(context);
        if (ready && waves.mayGo(machine.machine(), reader)) {
          int attempt = machine.storing(context.nowNanos());
          long now = context.nowNanos();
          waves.store(machine, () -> machine.storedBeforeCall(attempt, now));
        }
      }
    }
    for (WaveProgress wave : waves.all()) {
      for (MachineProgress machine : wave.machines()) {
        if (machine.in(Stage.CALLED)
            && !machine.callInFlight()
            && machine.due(context.nowNanos())) {
          callOrRelease(wave, machine, context);
        }
      }
    }
  }

  /** Opens the executors of machines that no call may have reached, as no further call is made. */
  private void releaseUncalled(BatchContext context) {
    for (WaveProgress wave : waves.all()) {
      for (MachineProgress machine : wave.machines()) {
        boolean uncalled =
            machine.in(Stage.CALLED) && !machine.mayHaveBegun() && !machine.callInFlight();
        if (uncalled || machine.in(Stage.CLOSED)) {
          release(machine, 0, context);
        }
      }
    }
  }

  /** Tells whether a machine is up with the executor that was closed, and nothing runs there. */
  private boolean idleAndUp(MachineProgress machine, BatchContext context) {
    Optional<Machine> listed = reader.find(machine.machine());
    boolean asClosed =
        listed.isPresent() && machine.executor().filter(listed.get()::runs).isPresent();
    if (!asClosed) {
      return false;
    }
    long closedNanos = context.nowNanos() - machine.closedAt();
    Optional<ExecutorState> executor = machine.executor().flatMap(executors::find);
    if (executor.isEmpty()) {
      return closedNanos > UNLISTED_NANOS;
    }
    boolean reached = executor.get().reached();
    // One that was reached and is silent now may run what a lost answer told.
    boolean heard =
        (reached && executor.get().missedPolls() == 0)
            || closedNanos > (reached ? UNLISTED_NANOS : NEVER_POLLED_NANOS);
    return heard && executor.get().runs().isEmpty() && !executor.get().hasUnknownRuns();
  }

  private void callOrRelease(WaveProgress wave, MachineProgress machine, BatchContext context) {
    boolean wanted = machine.wanted() && wave.open();
    boolean idleAndUp = idleAndUp(machine, context);
    // Operators may have lowered a cap, or machines may have crashed, since this was stored.
    boolean within = waves.withinCaps(machine.machine(), reader);
    if (!machine.mayHaveBegun() && !(wanted && idleAndUp && within)) {
      release(machine, 0, context);
      return;
    }
    // While the machine is not up, the answer tells whether an earlier call has caused that.
    boolean safe = (idleAndUp && within) || reader.notUp(machine.machine());
    if (wanted && safe && limit.take(context.nowNanos())) {
      call(wave, machine, context);
    }
  }

  private void call(WaveProgress wave, MachineProgress machine, BatchContext context) {
    long timeout = FIRST_TIMEOUT_MILLIS << Math.min(machine.tries(), 3);
    number++;
    machine.called(number, context.nowNanos());
    context.add(
        new BatchCommand.BeginMaintenance(
            machine.machine(),
            machine.wave(),
            number,
            epoch,
            Duration.ofMillis(Math.min(timeout, MAX_TIMEOUT_MILLIS)),
            sendBy));
    context.note(
        BatchLogEvent.MAINTENANCE_CALLED,
        machine.machine(),
        machine.wave(),
        machine.tries(),
        machine.executor().map(ExecutorId::value).orElse("no executor"),
        waves.away(wave, reader),
        wave.cap());
  }

  private void release(MachineProgress machine, long pauseNanos, BatchContext context) {
    machine.reopen(pauseNanos, context.nowNanos());
    waves.remove(machine);
  }

  /** Applies the outcome of a call. */
  void ended(MachineId id, long ofNumber, MaintenanceOutcome outcome, BatchContext context) {
    Optional<MachineProgress> called =
        waves.of(id).stream().filter(machine -> machine.awaits(ofNumber)).findFirst();
    if (called.isEmpty()) {
      return;
    }
    MachineProgress machine = called.get();
    context.count("fescuehook.maintenance.calls", "outcome", outcome.tag());
    context.note(
        BatchLogEvent.MAINTENANCE_CALL_ENDED,
        id,
        machine.wave(),
        machine.tries(),
        outcome,
        Duration.ofNanos(context.nowNanos() - machine.sentAt()).toMillis());
    switch (outcome) {
      case MaintenanceOutcome.Begun begun -> {
        machine.begun(context.nowNanos());
        waves.store(machine, () -> {});
        waves.find(machine.wave()).ifPresent(wave -> wave.noted(context.nowNanos()));
      }
      case MaintenanceOutcome.Refused(Reason reason) -> refused(machine, reason, context);
      case MaintenanceOutcome.Unanswered unanswered ->
          machine.unanswered(RETRY_NANOS, context.nowNanos());
      case MaintenanceOutcome.NotSent unsent -> {
        machine.notCarriedOut(RETRY_NANOS, context.nowNanos());
        if (!machine.mayHaveBegun() && machine.tries() >= MAX_UNSENT) {
          release(machine, REOPEN_NANOS, context);
        }
      }
    }
  }

  private void refused(MachineProgress machine, Reason reason, BatchContext context) {
    machine.notCarriedOut(RETRY_NANOS, context.nowNanos());
    switch (reason) {
      case FENCED -> {
        fenced = true;
        context.note(BatchLogEvent.MAINTENANCE_STOPPED, machine.machine());
      }
      case TOO_MANY_CALLS -> {}
      case NO_SUCH_MACHINE -> release(machine, REOPEN_NANOS, context);
      case BUSY, NOT_IN_WAVE -> {
        if (!machine.mayHaveBegun()) {
          release(machine, REOPEN_NANOS, context);
        } else if (reason == Reason.NOT_IN_WAVE) {
          machine.notInWave();
          machine.notCarriedOut(REOPEN_NANOS, context.nowNanos());
        }
      }
    }
  }
}
