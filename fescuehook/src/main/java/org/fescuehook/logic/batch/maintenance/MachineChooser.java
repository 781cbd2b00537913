package org.fescuehook.logic.batch.maintenance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.BatchContext;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.batch.executor.ExecutorDuty;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.maintenance.MachineProgress.Stage;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * Chooses the machines whose executors get no new runs, those that are idle soonest first, and
 * stops runs there: those that continue elsewhere from a checkpoint at once, all others only if the
 * deadline cannot be met otherwise.
 */
final class MachineChooser {

  /** Time beyond its maintenance until the owner has read that a machine is back. */
  private static final long NOTICE_MILLIS = 1000;

  /**
   * Time after which a closed machine with runs no longer counts for the pace, so that a run of
   * seven times its estimate doesn't hold up the others.
   */
  private static final long SLOW_DRAIN_NANOS = Duration.ofSeconds(8).toNanos();

  /** Most machines that are closed or away, as a multiple of the cap. */
  private static final int MAX_CLOSED_FACTOR = 2;

  /** A machine that has been away for this many times the usual one may never come back. */
  private static final int STUCK_FACTOR = 5;

  private final WaveRegistry waves;
  private final MachineReader reader;
  private final ExecutorDuty executors;
  private final long awayMillis;
  private final Map<MachineId, Long> notUpSince = new HashMap<>();

  MachineChooser(
      WaveRegistry waves, MachineReader reader, ExecutorDuty executors, Duration machineTime) {
    this.waves = waves;
    this.reader = reader;
    this.executors = executors;
    this.awayMillis = machineTime.toMillis() + NOTICE_MILLIS;
  }

  /** Returns how long a machine is away until the owner knows that it is back. */
  long awayMillis() {
    return awayMillis;
  }

  /** Closes machines of a wave, and stops runs on closed ones where that is due. */
  void step(WaveProgress wave, boolean workWaits, BatchContext context) {
    int stuck = stuck(wave, context);
    int away = waves.away(wave, reader) - stuck;
    List<MachineProgress> draining = draining(wave);
    List<MachineProgress> pending = pending(wave, context);
    WavePace pace =
        new WavePace(
            draining.size() + pending.size(),
            wave.cap() - stuck,
            wave.timeLeftMillis(context.wallMillis()),
            awayMillis);
    Map<MachineProgress, MachineLoad> loads = new HashMap<>();
    draining.forEach(machine -> loads.put(machine, load(machine.executor())));
    pending.forEach(machine -> loads.put(machine, load(listedExecutor(machine))));
    Comparator<MachineProgress> soonestIdle =
        Comparator.comparingLong(machine -> loads.get(machine).idleInMillis());
    pending.sort(soonestIdle);
    draining.sort(soonestIdle);
    int atOnce = pace.machinesAtOnce(drainMillis(pending, draining, loads, wave.cap()), workWaits);
    long counted =
        wave.in(Stage.CLOSED).stream()
            .filter(machine -> context.nowNanos() - machine.stageSince() < SLOW_DRAIN_NANOS)
            .count();
    int closed = wave.in(Stage.CLOSED).size();
    for (MachineProgress machine : pending) {
      boolean room = counted + away < atOnce && closed + away < MAX_CLOSED_FACTOR * wave.cap();
      if (!room) {
        break;
      }
      counted++;
      closed++;
      close(wave, machine, loads.get(machine), closed, workWaits, context);
      draining.add(machine);
    }
    clear(wave, draining, pace, loads, context);
  }

  /** Returns the machines whose executors are closed and may have runs. */
  private List<MachineProgress> draining(WaveProgress wave) {
    List<MachineProgress> draining = new ArrayList<>(wave.in(Stage.CLOSED));
    for (MachineProgress machine : wave.in(Stage.CALLED)) {
      if (machine.mayHaveBegun() && !machine.callInFlight()) {
        draining.add(machine);
      }
    }
    return draining;
  }

  private List<MachineProgress> pending(WaveProgress wave, BatchContext context) {
    List<MachineProgress> pending = new ArrayList<>();
    for (MachineProgress machine : wave.in(Stage.PENDING)) {
      // An executor that is not listed cannot be closed, so its machine waits for it.
      boolean up =
          reader
              .find(machine.machine())
              .filter(listed -> listed.up() && listed.executor().isPresent())
              .isPresent();
      boolean elsewhere = waves.of(machine.machine()).stream().anyMatch(MachineProgress::closed);
      if (up && !elsewhere && machine.due(context.nowNanos())) {
        pending.add(machine);
      }
    }
    return pending;
  }

  /** Returns how many machines have been away for so long that they may never come back. */
  private int stuck(WaveProgress wave, BatchContext context) {
    int stuck = 0;
    for (MachineProgress machine : wave.machines()) {
      if (!reader.notUp(machine.machine())) {
        notUpSince.remove(machine.machine());
        continue;
      }
      long since = notUpSince.computeIfAbsent(machine.machine(), id -> context.nowNanos());
      long millis = Duration.ofNanos(context.nowNanos() - since).toMillis();
      stuck += millis > STUCK_FACTOR * awayMillis ? 1 : 0;
    }
    return stuck;
  }

  private Optional<ExecutorId> listedExecutor(MachineProgress machine) {
    return reader.find(machine.machine()).flatMap(listed -> listed.executor());
  }

  private MachineLoad load(Optional<ExecutorId> id) {
    return MachineLoad.of(id.flatMap(executors.registry()::find), executors.registry());
  }

  /** Returns how long the next machines take until they are idle, on average. */
  private static long drainMillis(
      List<MachineProgress> pending,
      List<MachineProgress> draining,
      Map<MachineProgress, MachineLoad> loads,
      int cap) {
    List<MachineProgress> next = new ArrayList<>(draining);
    pending.stream().limit(Math.max(1, cap)).forEach(next::add);
    return Math.round(
        next.stream().mapToLong(machine -> loads.get(machine).idleInMillis()).average().orElse(0));
  }

  private void close(
      WaveProgress wave,
      MachineProgress machine,
      MachineLoad load,
      int closed,
      boolean workWaits,
      BatchContext context) {
    machine.close(reader.find(machine.machine()).orElseThrow(), context.nowNanos());
    wave.noted(context.nowNanos());
    Optional<ExecutorState> executor = machine.executor().flatMap(executors.registry()::find);
    context.note(
        BatchLogEvent.MACHINE_CLOSED,
        machine.machine(),
        wave.id(),
        machine.executor().map(ExecutorId::value).orElse("no executor"),
        executor.map(known -> known.runs().size()).orElse(0),
        load.idleInMillis(),
        closed,
        waves.away(wave, reader),
        wave.cap(),
        wave.in(Stage.PENDING).size(),
        wave.timeLeftMillis(context.wallMillis()),
        workWaits);
  }

  /** Stops runs on closed machines: those that are moved, and all where the deadline is near. */
  private void clear(
      WaveProgress wave,
      List<MachineProgress> draining,
      WavePace pace,
      Map<MachineProgress, MachineLoad> loads,
      BatchContext context) {
    int position = 0;
    for (MachineProgress machine : draining) {
      long spare = pace.spareMillis(position);
      position++;
      boolean forced = spare < loads.get(machine).idleInMillis() && spare < awayMillis;
      List<LiveRun> stops = forced ? allRuns(machine) : loads.get(machine).movable();
      String cause = forced ? "the deadline of the wave is near" : "they continue elsewhere";
      int stopped = stop(machine, stops, context);
      if (stopped > 0) {
        context.count("fescuehook.maintenance.cleared", "cause", forced ? "deadline" : "moved");
        context.note(
            BatchLogEvent.MACHINE_CLEARED, machine.machine(), wave.id(), stopped, cause, spare);
      }
    }
  }

  private List<LiveRun> allRuns(MachineProgress machine) {
    return machine
        .executor()
        .flatMap(executors.registry()::find)
        .map(executor -> List.copyOf(executor.runs()))
        .orElse(List.of());
  }

  private int stop(MachineProgress machine, List<LiveRun> runs, BatchContext context) {
    int stopped = 0;
    for (LiveRun run : runs) {
      // Checked for each run, since the one before may belong to the same step.
      boolean live = run.stage() != LiveRun.Stage.STOPPING;
      if (live && MachineLoad.mayBeStopped(run, executors.registry())) {
        String cause = "maintenance of machine " + machine.machine() + ", wave " + machine.wave();
        executors.stop(run, cause, context);
        stopped++;
      }
    }
    return stopped;
  }
}
