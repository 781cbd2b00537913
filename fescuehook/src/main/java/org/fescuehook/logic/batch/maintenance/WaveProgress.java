package org.fescuehook.logic.batch.maintenance;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.batch.maintenance.MachineProgress.Stage;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.MaintenanceWave;
import org.fescuehook.model.batch.WaveId;

/** How far a wave is. */
final class WaveProgress {

  private final WaveId id;
  private final Map<MachineId, MachineProgress> machines = new LinkedHashMap<>();
  private Optional<MaintenanceWave> wave = Optional.empty();
  private long firstReadMillis;
  private boolean withdrawn;
  private boolean completed;
  private Set<MachineId> settled;
  private boolean over;
  private boolean lateNoted;
  private long notedAt;

  /** Creates a wave that no record of operators is known of. */
  WaveProgress(WaveId id, WaveCodec.StoredWave stored, long nowNanos) {
    this.id = id;
    this.firstReadMillis = stored.firstReadMillis();
    this.completed = stored.completed();
    this.settled = stored.settled();
    this.notedAt = nowNanos;
  }

  WaveId id() {
    return id;
  }

  /** Returns what operators ask for; absent if they have withdrawn it. */
  Optional<MaintenanceWave> wave() {
    return wave;
  }

  long firstReadMillis() {
    return firstReadMillis;
  }

  boolean completed() {
    return completed;
  }

  /** Tells whether operators ask for it and some of its machines have not begun. */
  boolean open() {
    return wave.isPresent() && !completed;
  }

  /**
   * Tells whether its cap holds: while it is open and, after its completion, until all of its
   * machines have been seen up at the same time.
   */
  boolean limits() {
    return open() || (wave.isPresent() && !over);
  }

  /** Records that all of its machines are up after its completion. */
  void allUp() {
    over = completed;
  }

  /** Returns the most machines of the wave that may be away at the same time. */
  int cap() {
    return wave.map(MaintenanceWave::cap).orElse(0);
  }

  /** Returns the time until its deadline, negative after it. */
  long timeLeftMillis(long wallMillis) {
    long limit = wave.map(asked -> asked.timeLimit().toMillis()).orElse(0L);
    return firstReadMillis + limit - wallMillis;
  }

  /** Applies what operators ask for now. */
  void ask(MaintenanceWave asked, long nowNanos, long wallMillis) {
    if (withdrawn) {
      withdrawn = false;
      firstReadMillis = wallMillis;
      settled = Set.of();
      completed = false;
    }
    wave = Optional.of(asked);
    over = false;
    machines.values().forEach(machine -> machine.setWanted(false));
    for (MachineId id : asked.machines()) {
      MachineProgress machine = machine(id, nowNanos);
      machine.setWanted(true);
      if (settled.contains(id) && machine.in(Stage.PENDING)) {
        machine.settle(nowNanos);
      }
    }
    completed = completed && settled.containsAll(asked.machines());
    releaseUnwanted(nowNanos);
  }

  /** Applies that operators do not ask for the wave; returns whether that is new. */
  boolean withdraw(long nowNanos) {
    if (withdrawn) {
      return false;
    }
    wave = Optional.empty();
    withdrawn = true;
    machines.values().forEach(machine -> machine.setWanted(false));
    releaseUnwanted(nowNanos);
    return true;
  }

  /** Records that each machine of the wave has begun its maintenance or no longer exists. */
  void complete() {
    completed = true;
    settled = wave.map(asked -> Set.copyOf(asked.machines())).orElse(Set.of());
  }

  /** Returns the machines that had begun or did not exist when the wave was completed. */
  Set<MachineId> settled() {
    return settled;
  }

  private void releaseUnwanted(long nowNanos) {
    for (MachineProgress machine : machines.values()) {
      if (!machine.wanted() && machine.in(Stage.CLOSED)) {
        machine.reopen(0, nowNanos);
      }
    }
  }

  /** Returns the progress of a machine, which is created if there is none. */
  MachineProgress machine(MachineId machine, long nowNanos) {
    return machines.computeIfAbsent(machine, name -> new MachineProgress(id, name, nowNanos));
  }

  /** Adds the progress of a machine. */
  void add(MachineProgress machine) {
    machines.put(machine.machine(), machine);
  }

  Optional<MachineProgress> find(MachineId machine) {
    return Optional.ofNullable(machines.get(machine));
  }

  /** Returns all machines that the wave names, or named when their maintenance was called. */
  Collection<MachineProgress> machines() {
    return machines.values();
  }

  /** Returns the machines that the wave names and that are in a stage. */
  List<MachineProgress> in(Stage stage) {
    return machines.values().stream()
        .filter(machine -> machine.wanted() && machine.in(stage))
        .toList();
  }

  /** Tells whether nothing of a withdrawn wave has to be remembered. */
  boolean forgettable() {
    return wave.isEmpty() && machines.values().stream().noneMatch(MachineProgress::away);
  }

  /** Returns true once after the deadline. */
  boolean noteLate() {
    boolean first = !lateNoted;
    lateNoted = true;
    return first;
  }

  /** Returns when a change or a delay of the wave was last logged, monotonic time. */
  long notedAt() {
    return notedAt;
  }

  void noted(long nowNanos) {
    notedAt = nowNanos;
  }
}
