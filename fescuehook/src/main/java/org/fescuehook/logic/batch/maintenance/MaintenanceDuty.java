package org.fescuehook.logic.batch.maintenance;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.ExecutorDuty;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.maintenance.MachineProgress.Stage;
import org.fescuehook.logic.batch.ownership.StoreReachability;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.JobRegistry;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.StateWriter;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.batch.Machine;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.MaintenanceWave;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.preferences.MaintenancePreferences;

/** Carries out the maintenance waves that operators ask for, during one epoch. */
public final class MaintenanceDuty {

  private static final long INTERVAL_NANOS = Duration.ofMillis(50).toNanos();

  private static final long DELAY_LOG_NANOS = Duration.ofSeconds(10).toNanos();

  /**
   * Age of the last confirmed heartbeat up to which calls are made. A successor claims at the
   * earliest 1 s after the last heartbeat that it has seen.
   */
  private static final long MAX_HEARTBEAT_AGE_NANOS = Duration.ofSeconds(2).toNanos();

  /**
   * Added to the time for which another caller has a machine to itself, before the first call of an
   * epoch: the former owner may have called until {@link #MAX_HEARTBEAT_AGE_NANOS} after its last
   * heartbeat, and a call takes a connection, hence time to arrive.
   */
  private static final long TAKEOVER_MARGIN_NANOS = Duration.ofMillis(1400).toNanos();

  /** Time after which an unanswered call is certain to be over. */
  private static final long LATE_CALL_NANOS = Duration.ofSeconds(30).toNanos();

  private static final String CAUSE = "its machine goes through maintenance";

  private final MaintenancePreferences preferences;
  private final ExecutorDuty executors;
  private final JobRegistry jobs;
  private final WaveRegistry waves;
  private final MachineReader reader;
  private final MachineChooser chooser;
  private final MachineCaller caller;
  private final WaveReporter reporter;
  private final long callsFrom;
  private final Set<WaveProgress> completing = new HashSet<>();
  private Set<ExecutorId> closed = Set.of();

  /**
   * Executors that ended with their machines' maintenance. An idle executor is polled seldom, so it
   * may seem to answer for seconds after its end.
   */
  private final Set<ExecutorId> ended = new HashSet<>();

  private long nextAt;
  private boolean listChanged;

  /**
   * Creates the duty of an epoch.
   *
   * @param stored records of maintenance waves that the job stream holds
   * @param asked the waves that operators ask for
   */
  public MaintenanceDuty(
      long epoch,
      MaintenancePreferences preferences,
      ExecutorDuty executors,
      JobRegistry jobs,
      StateWriter writer,
      List<KeyedRecord> stored,
      List<MaintenanceWave> asked,
      BatchContext context) {
    this.preferences = preferences;
    this.executors = executors;
    this.jobs = jobs;
    this.waves = new WaveRegistry(writer, preferences.machineApi() ? stored : List.of(), context);
    this.reader = new MachineReader(epoch, context);
    this.chooser = new MachineChooser(waves, reader, executors, preferences.machineTime());
    this.caller =
        new MachineCaller(epoch, waves, reader, executors.registry(), preferences.callsPerSecond());
    this.reporter = new WaveReporter(epoch, context);
    this.nextAt = context.nowNanos();
    this.callsFrom =
        context.nowNanos() + preferences.callerLease().toNanos() + TAKEOVER_MARGIN_NANOS;
    if (preferences.machineApi()) {
      ask(asked, context);
    }
  }

  /** Replaces the waves that operators ask for. */
  public void ask(List<MaintenanceWave> asked, BatchContext context) {
    if (!preferences.machineApi()) {
      return;
    }
    waves.ask(asked, context);
    completing.removeIf(wave -> wave.wave().isEmpty());
    for (WaveProgress wave : waves.open(context)) {
      boolean allBegun = wave.in(Stage.BEGUN).size() == wave.wave().orElseThrow().machines().size();
      // Operators may have been told that it is completed just before this owner took over.
      if (!allBegun) {
        completing.remove(wave);
        reporter.report(wave.id(), WaveState.IN_PROGRESS, () -> {});
      }
    }
  }

  /** Applies the list of machines. */
  public void listed(long number, List<Machine> machines, BatchContext context) {
    listChanged |= reader.listed(number, machines, context);
  }

  /** Applies that the list of machines could not be read. */
  public void listUnreadable(long number, String cause, BatchContext context) {
    reader.failed(number, cause, context);
  }

  /** Applies the outcome of a maintenance call. */
  public void callEnded(
      MachineId machine, long number, MaintenanceOutcome outcome, BatchContext context) {
    caller.ended(machine, number, outcome, context);
  }

  /** Applies the outcome of a write of the states of waves. */
  public void reported(WriterPosition position, AppendOutcome outcome, BatchContext context) {
    reporter.written(position, outcome, context);
  }

  /**
   * Performs the work that is due.
   *
   * @param contact how well the store can be reached, judged by the heartbeats
   * @param stopping whether this VM gives up ownership
   */
  public void step(StoreReachability contact, boolean stopping, BatchContext context) {
    if (waves.all().isEmpty() && closed.isEmpty()) {
      return;
    }
    reporter.step(context);
    if (context.nowNanos() - nextAt < 0) {
      return;
    }
    nextAt = context.nowNanos() + INTERVAL_NANOS;
    if (waves.active()) {
      reader.step(context);
    } else {
      reader.pause(context);
    }
    if (listChanged) {
      listChanged = false;
      resolveAll(context);
    }
    boolean mayChoose =
        !stopping && context.nowNanos() - contact.confirmedAt() < MAX_HEARTBEAT_AGE_NANOS;
    if (mayChoose && !caller.fenced() && reader.fresh(context)) {
      boolean workWaits = workWaits(context);
      waves.open(context).forEach(wave -> chooser.step(wave, workWaits, context));
    }
    closeExecutors(context);
    if (mayChoose && context.nowNanos() - callsFrom >= 0) {
      caller.step(contact.confirmedAt() + MAX_HEARTBEAT_AGE_NANOS, context);
    }
    waves.open(context).forEach(wave -> noteDelay(wave, context));
    complete(context);
    waves.forgetWithdrawn();
  }

  /** Tells whether any step waits for capacity. */
  private boolean workWaits(BatchContext context) {
    for (ActiveJob job : jobs.activeJobs()) {
      boolean waits =
          job.open()
              && job.steps().stream()
                  .filter(step -> !step.done() && job.mayRun(step, context.wallMillis()))
                  .anyMatch(step -> !step.waiting().isEmpty());
      if (waits) {
        return true;
      }
    }
    return false;
  }

  private void resolveAll(BatchContext context) {
    for (WaveProgress wave : waves.all()) {
      wave.machines().forEach(machine -> resolve(wave, machine, context));
      if (wave.completed() && waves.away(wave, reader) == 0) {
        wave.allUp();
      }
    }
  }

  /** Applies what the newest list shows of a machine. */
  private void resolve(WaveProgress wave, MachineProgress machine, BatchContext context) {
    Optional<Machine> listed = reader.find(machine.machine());
    if (listed.isEmpty()) {
      resolveUnlisted(machine, context);
      return;
    }
    boolean same = machine.executor().filter(listed.get()::runs).isPresent();
    boolean replaced = listed.get().up() && !same && reader.requestedAfter(machine.stageSince());
    switch (machine.stage()) {
      case PENDING, STORING -> {}
      case CLOSED -> {
        if (!same) {
          machine.reopen(0, context.nowNanos());
        }
      }
      case CALLED -> {
        if (!machine.callInFlight() && (replaced || givenUp(wave, machine, listed.get(), same))) {
          // If the call did it, the next one for this machine is answered so and has no effect.
          if (listed.get().up()) {
            noteBack(machine, listed.get(), "not confirmed", context);
          }
          if (!same) {
            machine.executor().ifPresent(ended::add);
          }
          machine.reopen(0, context.nowNanos());
          waves.remove(machine);
        }
      }
      case BEGUN -> {
        long certain = machine.stageSince() + Duration.ofMillis(chooser.awayMillis()).toNanos();
        // A call for a machine that was through already has no effect, so its executor stays.
        boolean unchanged = same && reader.requestedAfter(certain);
        if (machine.awaitsReturn() && (replaced || unchanged)) {
          noteBack(machine, listed.get(), "begun", context);
          if (!same) {
            machine.executor().ifPresent(ended::add);
          }
          machine.returned();
          wave.noted(context.nowNanos());
        } else if (!wanted(wave, machine) && reader.requestedAfter(machine.stageSince())) {
          // The list shows whether it is away, so nothing more has to be remembered.
          if (!same) {
            machine.executor().ifPresent(ended::add);
          }
          machine.returned();
        }
      }
    }
  }

  /**
   * Tells whether a machine whose call may have been carried out is not called again, and the list
   * shows that it has not been, or that the machine is away and its wave does not ask for it.
   */
  private boolean givenUp(
      WaveProgress wave, MachineProgress machine, Machine listed, boolean same) {
    boolean over =
        machine.mayHaveBegun() && reader.requestedAfter(machine.uncertainSince() + LATE_CALL_NANOS);
    if (!over) {
      return false;
    }
    if (!wanted(wave, machine)) {
      return same || !listed.up();
    }
    boolean held =
        caller.fenced()
            || machine.refusedAsNotInWave()
            || !waves.withinCaps(machine.machine(), reader);
    return same && held;
  }

  private static boolean wanted(WaveProgress wave, MachineProgress machine) {
    return wave.open() && machine.wanted();
  }

  private void resolveUnlisted(MachineProgress machine, BatchContext context) {
    switch (machine.stage()) {
      case PENDING, STORING -> {}
      case CLOSED -> machine.reopen(0, context.nowNanos());
      case CALLED -> {
        if (reader.gone(machine.machine()) && !machine.callInFlight()) {
          machine.reopen(0, context.nowNanos());
          waves.remove(machine);
        }
      }
      case BEGUN -> {
        if (reader.gone(machine.machine())) {
          machine.returned();
        }
      }
    }
  }

  private static void noteBack(
      MachineProgress machine, Machine listed, String how, BatchContext context) {
    context.note(
        BatchLogEvent.MACHINE_BACK,
        machine.machine(),
        machine.wave(),
        listed.executor().map(ExecutorId::value).orElse("no executor"),
        Duration.ofNanos(context.nowNanos() - machine.stageSince()).toMillis(),
        how);
  }

  /**
   * Closes the executors of machines that are chosen or away, and opens all others. Placements
   * there whose start was not ordered yet are given up, so that their tasks are placed elsewhere.
   */
  private void closeExecutors(BatchContext context) {
    ended.removeIf(id -> executors.registry().find(id).isEmpty());
    Set<ExecutorId> now = new HashSet<>(ended);
    for (WaveProgress wave : waves.all()) {
      for (MachineProgress machine : wave.machines()) {
        if (machine.closed()) {
          machine.executor().ifPresent(now::add);
        }
      }
    }
    if (now.isEmpty() && closed.isEmpty()) {
      return;
    }
    for (ExecutorState executor : executors.registry().snapshot()) {
      boolean close = now.contains(executor.profile().id());
      executor.setInMaintenance(close);
      if (close) {
        List.copyOf(executor.runs()).stream()
            .filter(run -> run.stage() == LiveRun.Stage.PLACED)
            .forEach(run -> executors.stop(run, CAUSE, context));
      }
    }
    closed = now;
  }

  private void noteDelay(WaveProgress wave, BatchContext context) {
    long left = wave.timeLeftMillis(context.wallMillis());
    boolean late = left < 0 && wave.noteLate();
    if (!late && context.nowNanos() - wave.notedAt() < DELAY_LOG_NANOS) {
      return;
    }
    wave.noted(context.nowNanos());
    String state = reader.fresh(context) ? "list of machines read" : "no list of machines";
    context.note(
        BatchLogEvent.WAVE_DELAYED,
        wave.id(),
        wave.in(Stage.PENDING).size(),
        wave.in(Stage.CLOSED).size(),
        waves.away(wave, reader),
        wave.cap(),
        left,
        state);
  }

  /** Tells operators of the waves whose machines have all begun or no longer exist. */
  private void complete(BatchContext context) {
    if (!reader.fresh(context)) {
      return;
    }
    for (WaveProgress wave : waves.open(context)) {
      boolean done =
          wave.machines().stream()
              .filter(MachineProgress::wanted)
              .allMatch(machine -> machine.in(Stage.BEGUN) || goneBefore(machine));
      if (done && completing.add(wave)) {
        reporter.report(wave.id(), WaveState.COMPLETED, () -> completed(wave));
      }
    }
    for (WaveProgress wave : List.copyOf(completing)) {
      if (wave.completed()) {
        completing.remove(wave);
        long begun = wave.in(Stage.BEGUN).size();
        context.note(
            BatchLogEvent.WAVE_COMPLETED,
            wave.id(),
            context.wallMillis() - wave.firstReadMillis(),
            begun,
            wave.settled().size() - begun);
      }
    }
  }

  private boolean goneBefore(MachineProgress machine) {
    return machine.in(Stage.PENDING) && reader.gone(machine.machine());
  }

  private void completed(WaveProgress wave) {
    if (completing.contains(wave)) {
      wave.complete();
      waves.storeCompleted(wave);
    }
  }
}
