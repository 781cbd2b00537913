package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.maintenance.MaintenanceOutcome;
import org.fescuehook.logic.batch.maintenance.MaintenanceOutcome.Reason;
import org.fescuehook.logic.batch.maintenance.WaveState;
import org.fescuehook.logic.batch.store.KeyedRecord;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.model.batch.Machine;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.MaintenanceWave;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.batch.WaveId;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * The machines of a {@link BatchCluster} and the API through which they are maintained, with its
 * faults. Checks at each call that is carried out what operators rely on, by what happened to the
 * machines and not by what the scheduler counts.
 */
final class ClusterMachines {

  private static final long MAINTENANCE_MILLIS = 2000;
  private static final long HOLDER_LEASE_MILLIS = 3000;
  private static final int CALLS_PER_SECOND = 60;

  /** Time in which the list, which may be slow, tells the owner of a crash. */
  private static final long CRASH_NOTICE_MILLIS = 8000;

  private final BatchCluster cluster;
  private final Map<MachineId, FakeMachine> machines = new LinkedHashMap<>();
  private final Map<WaveId, MaintenanceWave> asked = new LinkedHashMap<>();
  private final Map<BatchCluster.Vm, List<MaintenanceWave>> known = new HashMap<>();
  private final Map<BatchCluster.Vm, List<MaintenanceWave>> delivered = new HashMap<>();
  private final Set<WaveId> over = new HashSet<>();
  private final Map<WaveId, Long> completedAt = new HashMap<>();
  private final Map<BatchCluster.Vm, Long> refusedTokens = new HashMap<>();
  private final Deque<Long> callTimes = new ArrayDeque<>();
  private final Set<MachineId> neverBack = new HashSet<>();
  private int incarnations;
  private int lists;
  private int mostAway;

  /** Probability that a call is carried out and its answer is lost. */
  double lostAnswerRate;

  /** Probability that a call is carried out seconds late and its caller sees a timeout. */
  double lateCallRate;

  /** Probability that a call is refused since there were too many. */
  double tooManyRate;

  /** Delay of all answers, in milliseconds. */
  long answerMillis = 10;

  /** Machines that the list lacks. */
  final Set<MachineId> unlisted = new HashSet<>();

  /** Whether the API answers nothing and does nothing. */
  boolean down;

  /** A machine as it is. */
  private static final class FakeMachine {
    private final MachineId id;
    private ExecutorId executor;
    private Machine.State state = Machine.State.UP;
    private final Set<WaveId> begun = new HashSet<>();
    private boolean awayByCall;
    private long notUpSince;
    private long token;
    private Optional<BatchCluster.Vm> holder = Optional.empty();
    private long calledAt = Long.MIN_VALUE / 2;

    FakeMachine(MachineId id, ExecutorId executor) {
      this.id = id;
      this.executor = executor;
    }
  }

  ClusterMachines(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /** Makes each executor of the cluster run on a machine of its own, named after it. */
  void addAll() {
    for (ExecutorId executor : cluster.executors.keySet()) {
      MachineId id = new MachineId("m-" + executor);
      machines.put(id, new FakeMachine(id, executor));
    }
  }

  List<MachineId> ids() {
    return List.copyOf(machines.keySet());
  }

  /** Makes a machine stay away once it is away. */
  void setNeverBack(MachineId id) {
    neverBack.add(id);
  }

  /** Removes a machine for good. */
  void remove(MachineId id) {
    FakeMachine machine = machines.remove(id);
    if (machine != null && cluster.executors.containsKey(machine.executor)) {
      cluster.crash(machine.executor);
    }
  }

  /** Lets a caller that the cluster does not have call with a token. */
  void callByOther(MachineId id, long token) {
    machines.get(id).token = token;
  }

  /** Asks for a wave, or changes it. */
  void ask(MaintenanceWave wave) {
    asked.put(wave.id(), wave);
    completedAt.remove(wave.id());
    over.remove(wave.id());
  }

  /** Returns a wave as it was asked for last. */
  MaintenanceWave wave(WaveId id) {
    return asked.get(id);
  }

  void withdraw(WaveId id) {
    asked.remove(id);
  }

  /** Returns when operators were told that a wave is completed; empty if they were not. */
  OptionalLong completedAt(WaveId id) {
    Long at = completedAt.get(id);
    return at == null ? OptionalLong.empty() : OptionalLong.of(at);
  }

  /** Returns how many machines have begun their maintenance for a wave. */
  long begun(WaveId id) {
    return machines.values().stream().filter(machine -> machine.begun.contains(id)).count();
  }

  /** Returns the executor that runs, or ran last, on a machine. */
  ExecutorId executor(MachineId id) {
    return machines.get(id).executor;
  }

  /** Returns the most machines of any wave that were away at the same time by calls. */
  int mostAway() {
    return mostAway;
  }

  /** Returns how many times the list was read. */
  int lists() {
    return lists;
  }

  /** Lets a VM read the waves if it can; called at short intervals. */
  void read(BatchCluster.Vm vm) {
    List<MaintenanceWave> now = List.copyOf(asked.values());
    if (cluster.reachesStore(vm) && !vm.frozen && !now.equals(known.getOrDefault(vm, List.of()))) {
      known.put(vm, now);
      cluster.in(
          cluster.faults.storeDelayMillis,
          () -> {
            vm.deliver(new BatchEvent.WavesRead(now));
            delivered.put(vm, now);
          });
    }
  }

  void list(BatchCluster.Vm vm, BatchCommand.ListMachines request) {
    lists++;
    if (down) {
      cluster.in(
          3000, () -> vm.deliver(new BatchEvent.MachinesUnreadable(request.number(), "timeout")));
      return;
    }
    cluster.in(
        answerMillis / 2,
        () -> {
          List<Machine> now =
              machines.values().stream()
                  .filter(m -> !unlisted.contains(m.id))
                  .map(m -> new Machine(m.id, m.state, Optional.of(m.executor)))
                  .toList();
          cluster.in(
              answerMillis - answerMillis / 2,
              () -> vm.deliver(new BatchEvent.MachinesListed(request.number(), now)));
        });
  }

  void begin(BatchCluster.Vm vm, BatchCommand.BeginMaintenance call) {
    long now = cluster.nowMillis();
    Long refused = refusedTokens.get(vm);
    assertTrue(
        refused == null || call.fenceToken() > refused,
        () -> vm.id + " calls with token " + call.fenceToken() + ", which was refused before");
    callTimes.addLast(now);
    callTimes.removeIf(at -> at <= now - 1000);
    assertTrue(callTimes.size() <= CALLS_PER_SECOND, "too many calls within a second");
    checkHolder(vm, call.machine());
    List<MaintenanceWave> knownToCaller = delivered.getOrDefault(vm, List.of());
    long timeout = call.timeout().toMillis();
    boolean late = cluster.random.nextDouble() < lateCallRate;
    boolean lost = cluster.random.nextDouble() < lostAnswerRate;
    if (down || late || lost || answerMillis > timeout) {
      if (!down) {
        long delay = late ? 500 + cluster.random.nextInt(9500) : answerMillis / 2;
        cluster.in(delay, () -> carryOut(call, knownToCaller));
      }
      answer(vm, call, timeout, new MaintenanceOutcome.Unanswered("timeout"));
      return;
    }
    cluster.in(
        answerMillis / 2,
        () -> answer(vm, call, answerMillis - answerMillis / 2, carryOut(call, knownToCaller)));
  }

  /** Checks the holder of a call when it arrives, which is before a late one is carried out. */
  private void checkHolder(BatchCluster.Vm vm, MachineId id) {
    FakeMachine machine = machines.get(id);
    if (machine == null || down) {
      return;
    }
    long now = cluster.nowMillis();
    boolean otherHolder = machine.holder.isPresent() && machine.holder.get() != vm;
    assertFalse(
        otherHolder && now - machine.calledAt < HOLDER_LEASE_MILLIS,
        () -> id + " is called by " + vm.id + " right after another holder");
    machine.holder = Optional.of(vm);
    machine.calledAt = now;
  }

  private void answer(
      BatchCluster.Vm vm,
      BatchCommand.BeginMaintenance call,
      long millis,
      MaintenanceOutcome outcome) {
    cluster.in(
        millis,
        () -> {
          if (outcome.equals(new MaintenanceOutcome.Refused(Reason.FENCED))) {
            refusedTokens.merge(vm, call.fenceToken(), Math::max);
          }
          vm.deliver(new BatchEvent.MaintenanceCallEnded(call.machine(), call.number(), outcome));
        });
  }

  private MaintenanceOutcome carryOut(
      BatchCommand.BeginMaintenance call, List<MaintenanceWave> knownToCaller) {
    FakeMachine machine = machines.get(call.machine());
    if (cluster.random.nextDouble() < tooManyRate) {
      return new MaintenanceOutcome.Refused(Reason.TOO_MANY_CALLS);
    }
    if (machine == null) {
      return new MaintenanceOutcome.Refused(Reason.NO_SUCH_MACHINE);
    }
    if (call.fenceToken() < machine.token) {
      return new MaintenanceOutcome.Refused(Reason.FENCED);
    }
    machine.token = call.fenceToken();
    if (machine.begun.contains(call.wave())) {
      return new MaintenanceOutcome.Begun();
    }
    MaintenanceWave wave = asked.get(call.wave());
    if (wave == null || !wave.machines().contains(machine.id)) {
      return new MaintenanceOutcome.Refused(Reason.NOT_IN_WAVE);
    }
    if (machine.state != Machine.State.UP) {
      return new MaintenanceOutcome.Refused(Reason.BUSY);
    }
    goAway(machine, call.wave(), knownToCaller);
    return new MaintenanceOutcome.Begun();
  }

  private void goAway(FakeMachine machine, WaveId wave, List<MaintenanceWave> knownToCaller) {
    List<TaskRun> running = cluster.executors.get(machine.executor).running();
    assertEquals(List.of(), running, () -> "the maintenance of " + machine.id + " ends runs");
    machine.begun.add(wave);
    notUp(machine, Machine.State.IN_MAINTENANCE, MAINTENANCE_MILLIS);
    machine.awayByCall = true;
    asked.values().stream()
        .filter(other -> other.machines().contains(machine.id))
        .filter(other -> knownToCaller.contains(other) && !over.contains(other.id()))
        .forEach(this::checkCap);
  }

  private void checkCap(MaintenanceWave wave) {
    List<MachineId> away =
        wave.machines().stream()
            .filter(machines::containsKey)
            .map(machines::get)
            .filter(machine -> machine.state != Machine.State.UP)
            .filter(m -> m.awayByCall || cluster.nowMillis() - m.notUpSince > CRASH_NOTICE_MILLIS)
            .map(machine -> machine.id)
            .toList();
    mostAway = Math.max(mostAway, away.size());
    assertTrue(
        away.size() <= wave.cap(),
        () -> "wave " + wave.id() + " has a cap of " + wave.cap() + ", away are " + away);
  }

  /** Marks the completed waves all of whose machines are up; from then on their caps are free. */
  private void markOver() {
    asked.values().stream()
        .filter(wave -> completedAt.containsKey(wave.id()))
        .filter(
            wave ->
                wave.machines().stream()
                    .filter(machines::containsKey)
                    .allMatch(id -> machines.get(id).state == Machine.State.UP))
        .forEach(wave -> over.add(wave.id()));
  }

  /** Crashes a machine; it is up again with another executor after some time. */
  void crash(MachineId id, long awayMillis) {
    FakeMachine machine = machines.get(id);
    if (machine != null && machine.state == Machine.State.UP) {
      notUp(machine, Machine.State.DOWN, awayMillis);
    }
  }

  private void notUp(FakeMachine machine, Machine.State state, long awayMillis) {
    machine.state = state;
    machine.awayByCall = false;
    machine.notUpSince = cluster.nowMillis();
    FakeExecutor executor = cluster.executors.get(machine.executor);
    cluster.crash(machine.executor);
    if (neverBack.contains(machine.id)) {
      return;
    }
    incarnations++;
    ExecutorId next = new ExecutorId(machine.id + "-" + incarnations);
    cluster.in(
        awayMillis,
        () -> {
          if (!machines.containsKey(machine.id)) {
            return;
          }
          machine.state = Machine.State.UP;
          markOver();
          machine.executor = next;
          cluster.addExecutor(TestFixtures.withId(executor.profile(), next.value()));
        });
  }

  /** Writes the states of waves into the store, and checks those that are told as completed. */
  void report(BatchCluster.Vm vm, BatchCommand.ReportWaves report) {
    List<KeyedRecord> records = new ArrayList<>();
    report
        .states()
        .forEach(
            (wave, state) -> {
              byte[] text = state.name().getBytes(StandardCharsets.UTF_8);
              records.add(new KeyedRecord("wave/" + wave, Optional.of(text)));
              if (state == WaveState.COMPLETED && asked.containsKey(wave)) {
                checkCompleted(vm, asked.get(wave));
              }
            });
    cluster.sendAppend(
        vm,
        new BatchCommand.Append(
            StreamName.STATUS, report.position(), OptionalLong.empty(), records));
  }

  private void checkCompleted(BatchCluster.Vm vm, MaintenanceWave wave) {
    boolean knows = known.getOrDefault(vm, List.of()).contains(wave);
    List<MachineId> left =
        wave.machines().stream()
            .filter(machines::containsKey)
            .filter(id -> !machines.get(id).begun.contains(wave.id()))
            .toList();
    assertTrue(!knows || left.isEmpty(), () -> wave.id() + " told as completed without " + left);
    completedAt.putIfAbsent(wave.id(), cluster.nowMillis());
    markOver();
  }

  /** Returns the state of a wave as operators read it. */
  Optional<String> toldState(WaveId wave) {
    return cluster
        .store
        .newest(StreamName.STATUS, "wave/" + wave)
        .map(stored -> new String(stored.record().value().orElseThrow(), StandardCharsets.UTF_8));
  }
}
