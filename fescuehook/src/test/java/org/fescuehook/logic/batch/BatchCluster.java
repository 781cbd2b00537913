package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.ownership.OwnerIdentity;
import org.fescuehook.logic.batch.store.RepeatedAppend;
import org.fescuehook.logic.batch.store.ResponseTimeEstimator;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.BatchPreferences;
import org.fescuehook.model.preferences.SchedulingPreferences;

/** VMs, the shared store and executors on a virtual clock, with faults injected between them. */
final class BatchCluster {

  static final String KEY = TestFixtures.KEY;
  static final String URGENT = TestFixtures.URGENT;
  static final String NORMAL = TestFixtures.NORMAL;
  static final String BULK = TestFixtures.BULK;

  /** Interval of the events that tell a VM of passing time. */
  static final long TICK_MILLIS = 50;

  private static final long STEP_MILLIS = 20;
  private static final long ANSWER_LIMIT_MILLIS = 1000;

  /** How long callers wait for an answer; each call passes it to the owner. */
  static final Duration CALLER_TIMEOUT = Duration.ofMillis(2800);

  private static final long WALL_START = 1_700_000_000_000L;

  final FakeStore store = new FakeStore();
  final TaskSimulation work = new TaskSimulation();
  final Map<Long, CallAnswer> answers = new HashMap<>();
  final Map<String, CallAnswer> submissions = new LinkedHashMap<>();
  final Map<VmId, Vm> vms = new LinkedHashMap<>();
  final Map<ExecutorId, FakeExecutor> executors = new LinkedHashMap<>();
  final ClusterFaults faults = new ClusterFaults();
  final ClusterOrders orders = new ClusterOrders(this);
  final ClusterCrashes crashes = new ClusterCrashes(this);
  final ClusterEvacuations evacuations = new ClusterEvacuations(this);
  final ClusterMachines machines = new ClusterMachines(this);
  final LongRunningStops longRunningStops = new LongRunningStops(this);
  private final FaultFreePeriod faultFreePeriod = new FaultFreePeriod(this);
  private final ClusterAppends appends = new ClusterAppends(this);
  private final ClusterListing listing = new ClusterListing(this);
  private final ClusterOwnershipReads ownershipReads = new ClusterOwnershipReads(this);
  final Random random;
  private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
  final CallTracker calls = new CallTracker(work, submissions);
  private final ClusterConfiguration configuration;
  private final BatchPreferences preferences;
  private long nowMillis;
  private long order;
  private long ticket;
  private int starts;
  private final List<BatchCommand.Note> notes = new ArrayList<>();
  final List<BatchCommand.Warning> warnings = new ArrayList<>();

  /** One start of a VM. */
  final class Vm {
    final VmId id;
    final int start;
    BatchCore core;
    boolean running = true;
    boolean frozen;

    /** The evacuated failure domains that this VM has read of; a VM that starts knows none. */
    Set<FailureDomain> evacuationsRead = Set.of();

    final Map<StreamName, ResponseTimeEstimator> answerTimes = new EnumMap<>(StreamName.class);
    final ResponseTimeEstimator readTimes = new ResponseTimeEstimator(RepeatedAppend.NEVER_LATE);
    boolean following;
    private long busyUntil;
    private final List<BatchEvent> heldEvents = new ArrayList<>();

    Vm(VmId id) {
      this.id = id;
      starts++;
      start = starts;
      for (StreamName stream : StreamName.values()) {
        answerTimes.put(stream, new ResponseTimeEstimator(RepeatedAppend.NEVER_LATE, readTimes));
      }
      OwnerIdentity self =
          new OwnerIdentity(id, "start-" + start, "10.0.0.1:7000", TestFixtures.milliCores(id));
      core = new BatchCore(self, preferences);
    }

    void deliver(BatchEvent event) {
      if (!running || faults.dropped.test(id, event)) {
        return;
      }
      if (frozen) {
        heldEvents.add(event);
        return;
      }
      for (BatchCommand command :
          core.apply(
              event, nowMillis * 1_000_000, WALL_START + nowMillis + faults.wallClockAheadMillis)) {
        execute(this, command);
      }
    }

    /** Returns how long this VM is still busy with earlier work. */
    long backlogMillis() {
      return Math.max(0, busyUntil - nowMillis);
    }

    /** Occupies this VM's only thread with an exchange with an executor, after its earlier work. */
    void occupyForExchange() {
      busyUntil = Math.max(busyUntil, nowMillis) + faults.exchangeMillis;
    }

    void unfreeze() {
      frozen = false;
      List<BatchEvent> late = List.copyOf(heldEvents);
      heldEvents.clear();
      late.forEach(this::deliver);
    }
  }

  BatchCluster(int vmCount, int executorCount, long seed) {
    this(vmCount, executorCount, seed, TestFixtures.configuration());
  }

  BatchCluster(int vmCount, int executorCount, long seed, BatchConfiguration declared) {
    this(vmCount, executorCount, seed, declared, TestFixtures.preferences());
  }

  BatchCluster(
      int vmCount,
      int executorCount,
      long seed,
      BatchConfiguration declared,
      SchedulingPreferences scheduling) {
    this(vmCount, executorCount, seed, declared, TestFixtures.preferences(scheduling));
  }

  BatchCluster(
      int vmCount,
      int executorCount,
      long seed,
      BatchConfiguration declared,
      BatchPreferences preferences) {
    this.preferences = preferences;
    random = new Random(seed);
    configuration = new ClusterConfiguration(declared, work.placement);
    for (int i = 0; i < executorCount; i++) {
      addExecutor("e" + i, "r" + i / 4);
    }
    for (int i = 0; i < vmCount; i++) {
      start(new VmId("vm-" + i));
    }
  }

  void addExecutor(String name, String rack) {
    addExecutor(TestFixtures.executor(name, rack));
  }

  void addExecutor(ExecutorProfile profile) {
    addExecutor(new FakeExecutor(profile, 1_000_000L + random.nextInt(1000), work));
    list(profile.id());
  }

  /** Adds an executor that answers orders but is not listed yet. */
  void addExecutor(FakeExecutor executor) {
    executors.put(executor.profile().id(), executor);
    work.add(executor);
  }

  long wallMillis() {
    return WALL_START + nowMillis;
  }

  /** Announces that an executor leaves in {@code remainingMillis}. */
  void leave(ExecutorId id, long remainingMillis) {
    listing.leave(id, remainingMillis);
  }

  /** Ends an executor and loses its runs; the list drops its entry 4.5 s later. */
  void crash(ExecutorId id) {
    FakeExecutor executor = executors.remove(id);
    executor.crash(nowMillis);
    work.forgetEnds(id);
    in(4500, () -> unlist(id));
  }

  /** Reports an executor as listed to the VMs that follow the list of executors. */
  void list(ExecutorId id) {
    listing.list(id);
  }

  /** Reports an executor as no longer listed to the VMs that follow the list of executors. */
  void unlist(ExecutorId id) {
    listing.unlist(id);
  }

  /** Starts a VM and returns it; returns a VM that is running unchanged. */
  Vm start(VmId id) {
    Vm earlier = vms.get(id);
    if (earlier != null && earlier.running) {
      return earlier;
    }
    Vm vm = new Vm(id);
    vms.put(id, vm);
    vm.deliver(new BatchEvent.ConfigurationRead(configuration.newest()));
    tick(vm);
    ownershipReads.begin(vm);
    return vm;
  }

  /** Kills a VM and starts it again after {@code downMillis}. */
  void restart(VmId id, long downMillis) {
    vms.get(id).running = false;
    in(downMillis, () -> start(id));
  }

  /** Delivers a configuration to all VMs. */
  void configure(BatchConfiguration newer) {
    configuration.replace(newer, nowMillis);
    vms.values().forEach(vm -> vm.deliver(new BatchEvent.ConfigurationRead(newer)));
  }

  private void tick(Vm vm) {
    if (vm.running) {
      machines.read(vm);
      evacuations.read(vm);
      vm.deliver(new BatchEvent.Tick());
      in(TICK_MILLIS, () -> tick(vm));
    }
  }

  boolean reachesStore(Vm vm) {
    return !faults.storeDown && !faults.cutFromStore.contains(vm.id);
  }

  private void execute(Vm vm, BatchCommand command) {
    switch (command) {
      case BatchCommand.Answer(long number, CallAnswer answer) -> answered(number, answer);
      case BatchCommand.Append append -> appends.send(vm, append);
      case BatchCommand.LoadState load -> load(vm, load.epoch());
      case BatchCommand.FollowExecutors(boolean following) -> listing.follow(vm, following);
      case BatchCommand.Order order -> orders.send(vm, order);
      case BatchCommand.ProbeExecutors probe -> orders.probe(vm, probe);
      case BatchCommand.AskAdvice question -> orders.askAdvice(vm, question);
      case BatchCommand.ListMachines request -> machines.list(vm, request);
      case BatchCommand.BeginMaintenance begin -> machines.begin(vm, begin);
      case BatchCommand.ReportWaves report -> machines.report(vm, report);
      case BatchCommand.ForgetExecutor forget -> {}
      case BatchCommand.Note note -> notes.add(note);
      case BatchCommand.Warning warning -> warnings.add(warning);
      case BatchCommand.Measure _, BatchCommand.Count _ -> {}
    }
  }

  void sendAppend(Vm vm, BatchCommand.Append append) {
    appends.send(vm, append);
  }

  private void load(Vm vm, long epoch) {
    in(
        faults.storeDelayMillis,
        () ->
            vm.deliver(
                reachesStore(vm) && !faults.cannotLoad.contains(vm.id)
                    ? new BatchEvent.StateRead(
                        epoch, faults.loaded(store.newest(StreamName.STATE)), Optional.empty())
                    : new BatchEvent.StateUnreadable(epoch)));
  }

  private void answered(long number, CallAnswer answer) {
    answers.put(number, answer);
    calls.recordAnswer(number, answer, nowMillis);
  }

  /** Sends a call to the owner and returns its ticket; empty if no VM decides. */
  Optional<Long> call(BatchCall call) {
    Optional<Vm> owner = owner();
    if (owner.isEmpty()) {
      return Optional.empty();
    }
    ticket++;
    calls.recordCall(ticket, call);
    owner.get().deliver(new BatchEvent.Called(ticket, call, CALLER_TIMEOUT));
    return Optional.of(ticket);
  }

  boolean cancelSent(String job) {
    return calls.cancelSent(job);
  }

  Optional<Vm> owner() {
    return vms.values().stream()
        .filter(vm -> vm.running && !vm.frozen && vm.core.deciding())
        .reduce((first, second) -> second);
  }

  /** Submits a job with the default API key and returns the job's id. */
  String submit(String queueName, Submission submission) {
    return submit(queueName, KEY, submission);
  }

  /** Submits a job with an organisation's API key and returns the job's id. */
  String submit(String queueName, String key, Submission submission) {
    String id = "%016x".formatted(0xa000L + submissions.size() + ticket);
    call(new BatchCall.Submit(queueName, key, id, submission));
    return id;
  }

  /** Returns the answer to a status call, which may have to wait for the store; empty if late. */
  Optional<CallAnswer> status(String job) {
    Optional<Long> asked = call(calls.statusCall(job, configuration.callerKey()));
    long limit = nowMillis + ANSWER_LIMIT_MILLIS;
    while (asked.isPresent() && !answers.containsKey(asked.get()) && nowMillis < limit) {
      run(STEP_MILLIS);
    }
    return asked.map(answers::get);
  }

  /** Schedules an action after a delay. */
  void in(long millis, Runnable action) {
    order++;
    queue.add(new ScheduledAction(nowMillis + millis, order, action));
  }

  /** Lets virtual time pass and runs the actions that become due. */
  void run(long millis) {
    long until = nowMillis + millis;
    while (nowMillis < until) {
      long next = Math.min(until, nowMillis + STEP_MILLIS);
      while (!queue.isEmpty() && queue.peek().at() <= next) {
        ScheduledAction due = queue.remove();
        nowMillis = Math.max(nowMillis, due.at());
        due.action().run();
      }
      nowMillis = next;
      List.copyOf(executors.values()).forEach(executor -> executor.advance(nowMillis, STEP_MILLIS));
      crashes.restartCrashed();
      faultFreePeriod.update();
    }
  }

  /** Lets time pass until a condition holds; fails if it does not hold within the limit. */
  void runUntil(String what, long limitMillis, java.util.function.BooleanSupplier condition) {
    long until = nowMillis + limitMillis;
    while (!condition.getAsBoolean()) {
      assertTrue(nowMillis < until, () -> "not within " + limitMillis + " ms: " + what);
      run(STEP_MILLIS);
    }
  }

  void awaitOwner() {
    runUntil("an owner", 10_000, () -> owner().isPresent());
  }

  /** Returns how many accepted jobs of a queue have not begun. */
  int pendingJobs(String queueName) {
    Optional<Long> asked = call(new BatchCall.CountPending(queueName, configuration.callerKey()));
    return asked
        .map(answers::get)
        .map(answer -> answer instanceof CallAnswer.Pending(int jobs) ? jobs : 0)
        .orElse(0);
  }

  int claims() {
    return appends.claims();
  }

  /** Returns how many times a VM has become owner. */
  int ownershipsWon() {
    return notes(BatchLogEvent.OWNERSHIP_WON).size();
  }

  /** Returns the log events of one kind from all VMs. */
  List<BatchCommand.Note> notes(BatchLogEvent event) {
    return notes.stream().filter(note -> note.event() == event).toList();
  }

  long nowMillis() {
    return nowMillis;
  }
}
