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
import org.fescuehook.model.fleet.VmId;

/** VMs, store and executors on a virtual clock, with faults between them. */
final class BatchCluster {

  static final String KEY = Declared.KEY;
  static final String URGENT = Declared.URGENT;
  static final String NORMAL = Declared.NORMAL;
  static final String BULK = Declared.BULK;

  private static final long STEP_MILLIS = 20;
  private static final long ANSWER_LIMIT_MILLIS = 1000;

  /** Time between two reads of ownership, and how long each waits for a record. */
  private static final long READ_PAUSE_MILLIS = 400;

  private static final long READ_WAIT_MILLIS = 1000;
  private static final long UNREAD = -1;

  /** How long callers wait, as told to the owner. */
  static final Duration PATIENCE = Duration.ofMillis(2800);

  private static final long WALL_START = 1_700_000_000_000L;

  final FakeStore store = new FakeStore();
  final VirtualWork work = new VirtualWork();
  final Map<Long, CallAnswer> answers = new HashMap<>();
  final Map<String, CallAnswer> submissions = new LinkedHashMap<>();
  final Map<VmId, Vm> vms = new LinkedHashMap<>();
  final Map<ExecutorId, FakeExecutor> executors = new LinkedHashMap<>();
  final ClusterFaults faults = new ClusterFaults();
  final ClusterOrders orders = new ClusterOrders(this);
  final ClusterCrashes crashes = new ClusterCrashes(this);
  private final ClusterCalm calm = new ClusterCalm(this);
  private final ClusterAppends appends = new ClusterAppends(this);
  final Random random;
  private final PriorityQueue<Due> queue = new PriorityQueue<>();
  private final CallLedger calls = new CallLedger(work, submissions);
  private final BatchConfiguration configuration;
  private long nowMillis;
  private long order;
  private long ticket;
  private int starts;
  private final List<BatchCommand.Note> notes = new ArrayList<>();

  /** One VM. */
  final class Vm {
    final VmId id;
    final int start;
    BatchCore core;
    boolean running = true;
    boolean frozen;
    final Map<StreamName, ResponseTimeEstimator> answerTimes = new EnumMap<>(StreamName.class);
    private final ResponseTimeEstimator readTimes =
        new ResponseTimeEstimator(RepeatedAppend.NEVER_LATE);
    private boolean following;
    private long busyUntil;
    private final List<BatchEvent> held = new ArrayList<>();

    Vm(VmId id) {
      this.id = id;
      starts++;
      start = starts;
      for (StreamName stream : StreamName.values()) {
        answerTimes.put(stream, new ResponseTimeEstimator(RepeatedAppend.NEVER_LATE, readTimes));
      }
      OwnerIdentity self =
          new OwnerIdentity(id, "start-" + start, "10.0.0.1:7000", Declared.milliCores(id));
      core = new BatchCore(self, Declared.preferences());
    }

    void deliver(BatchEvent event) {
      if (!running || faults.dropped.test(id, event)) {
        return;
      }
      if (frozen) {
        held.add(event);
        return;
      }
      for (BatchCommand command :
          core.apply(event, nowMillis * 1_000_000, WALL_START + nowMillis + faults.wallAhead)) {
        carryOut(this, command);
      }
    }

    /** Returns how long it takes until this VM has time for something. */
    long backlogMillis() {
      return Math.max(0, busyUntil - nowMillis);
    }

    /** Works on an exchange with an executor after all that it has to do before. */
    void workOnExchange() {
      busyUntil = Math.max(busyUntil, nowMillis) + faults.exchangeMillis;
    }

    void thaw() {
      frozen = false;
      List<BatchEvent> late = List.copyOf(held);
      held.clear();
      late.forEach(this::deliver);
    }
  }

  BatchCluster(int vmCount, int executorCount, long seed) {
    this(vmCount, executorCount, seed, Declared.configuration());
  }

  BatchCluster(int vmCount, int executorCount, long seed, BatchConfiguration declared) {
    random = new Random(seed);
    configuration = declared;
    for (int i = 0; i < executorCount; i++) {
      addExecutor("e" + i, "r" + i / 4);
    }
    for (int i = 0; i < vmCount; i++) {
      start(new VmId("vm-" + i));
    }
  }

  void addExecutor(String name, String rack) {
    addExecutor(Declared.executor(name, rack));
  }

  void addExecutor(ExecutorProfile profile) {
    addExecutor(new FakeExecutor(profile, 1_000_000L + random.nextInt(1000), work));
    list(profile.id());
  }

  /** Has an executor answer that the list does not name yet. */
  void addExecutor(FakeExecutor executor) {
    executors.put(executor.profile().id(), executor);
    work.add(executor);
  }

  long wallMillis() {
    return WALL_START + nowMillis;
  }

  /** An executor tells that it leaves after a while. */
  void leave(ExecutorId id, long remainingMillis) {
    ExecutorProfile leaving = Declared.leaving(executors.get(id).profile(), remainingMillis);
    executors.get(id).describe(leaving);
    vms.values().stream()
        .filter(vm -> vm.following)
        .forEach(vm -> vm.deliver(new BatchEvent.ExecutorSeen(leaving)));
  }

  /** An executor loses all its runs and ends; the list tells it a few seconds later. */
  void crash(ExecutorId id) {
    FakeExecutor executor = executors.remove(id);
    executor.crash(nowMillis);
    work.forget(id);
    in(4500, () -> unlist(id));
  }

  /** The list names an executor again. */
  void list(ExecutorId id) {
    vms.values().stream()
        .filter(vm -> vm.following)
        .forEach(vm -> vm.deliver(new BatchEvent.ExecutorSeen(executors.get(id).profile())));
  }

  /** The list names an executor no longer. */
  void unlist(ExecutorId id) {
    vms.values().stream()
        .filter(vm -> vm.following)
        .forEach(vm -> vm.deliver(new BatchEvent.ExecutorUnlisted(id)));
  }

  /** Starts a VM; one that runs again already stays as it is. */
  Vm start(VmId id) {
    Vm earlier = vms.get(id);
    if (earlier != null && earlier.running) {
      return earlier;
    }
    Vm vm = new Vm(id);
    vms.put(id, vm);
    vm.deliver(new BatchEvent.ConfigurationRead(configuration));
    tick(vm);
    readOwnership(vm, UNREAD, nowMillis);
    BatchEvent late = new BatchEvent.OwnershipUnreadable();
    faults.firstReadLateAt().forEach(at -> in(at, () -> vm.deliver(late)));
    return vm;
  }

  /** Kills a VM and starts it again after a while. */
  void restart(VmId id, long downMillis) {
    vms.get(id).running = false;
    in(downMillis, () -> start(id));
  }

  /** Puts a configuration in force on all VMs. */
  void configure(BatchConfiguration newer) {
    vms.values().forEach(vm -> vm.deliver(new BatchEvent.ConfigurationRead(newer)));
  }

  private void tick(Vm vm) {
    if (vm.running) {
      vm.deliver(new BatchEvent.Tick());
      in(50, () -> tick(vm));
    }
  }

  boolean reachesStore(Vm vm) {
    return !faults.storeDown && !faults.cutFromStore.contains(vm.id);
  }

  /** Reads the stream of ownership; the store answers once there is news, or after a while. */
  private void readOwnership(Vm vm, long knownEnd, long until) {
    if (!vm.running) {
      return;
    }
    long end = store.end(StreamName.OWNERSHIP);
    if (reachesStore(vm) && end == knownEnd && nowMillis < until) {
      in(STEP_MILLIS, () -> readOwnership(vm, knownEnd, until));
      return;
    }
    BatchEvent read = reachesStore(vm) ? store.ownership() : new BatchEvent.OwnershipUnreadable();
    in(faults.storeDelay, () -> ownershipRead(vm, read, end));
  }

  private void ownershipRead(Vm vm, BatchEvent read, long end) {
    if (reachesStore(vm)) {
      vm.readTimes.answered(Duration.ofMillis(faults.storeDelay).toNanos());
    }
    if (!vm.frozen) {
      vm.deliver(read);
    }
    in(READ_PAUSE_MILLIS, () -> readOwnership(vm, end, nowMillis + READ_WAIT_MILLIS));
  }

  private void carryOut(Vm vm, BatchCommand command) {
    switch (command) {
      case BatchCommand.Answer(long number, CallAnswer answer) -> answered(number, answer);
      case BatchCommand.Append append -> appends.send(vm, append);
      case BatchCommand.LoadState load -> load(vm, load.epoch());
      case BatchCommand.FollowExecutors(boolean following) -> follow(vm, following);
      case BatchCommand.Order order -> orders.send(vm, order);
      case BatchCommand.AskAdvice question -> orders.ask(vm, question);
      case BatchCommand.ForgetExecutor forget -> {}
      case BatchCommand.Note note -> notes.add(note);
      case BatchCommand.Measure _, BatchCommand.Count _ -> {}
    }
  }

  private void load(Vm vm, long epoch) {
    in(
        faults.storeDelay,
        () ->
            vm.deliver(
                reachesStore(vm) && !faults.cannotLoad.contains(vm.id)
                    ? new BatchEvent.StateRead(
                        epoch, store.newest(StreamName.STATE), Optional.empty())
                    : new BatchEvent.StateUnreadable(epoch)));
  }

  private void follow(Vm vm, boolean following) {
    vm.following = following;
    if (following) {
      in(
          faults.storeDelay,
          () ->
              vm.deliver(
                  new BatchEvent.ExecutorsListed(
                      executors.values().stream()
                          .map(FakeExecutor::profile)
                          .filter(profile -> !faults.unlisted.contains(profile.id()))
                          .toList())));
    }
  }

  private void answered(long number, CallAnswer answer) {
    answers.put(number, answer);
    calls.answered(number, answer, nowMillis);
  }

  /** Calls the VM that decides; absent if none does. */
  Optional<Long> call(BatchCall call) {
    Optional<Vm> owner = owner();
    if (owner.isEmpty()) {
      return Optional.empty();
    }
    ticket++;
    calls.asked(ticket, call);
    owner.get().deliver(new BatchEvent.Called(ticket, call, PATIENCE));
    return Optional.of(ticket);
  }

  boolean cancelAsked(String job) {
    return calls.cancelAsked(job);
  }

  Optional<Vm> owner() {
    return vms.values().stream()
        .filter(vm -> vm.running && !vm.frozen && vm.core.deciding())
        .reduce((first, second) -> second);
  }

  /** Submits a job and returns its id. */
  String submit(String queueName, Submission submission) {
    return submit(queueName, KEY, submission);
  }

  /** Submits a job of the organisation that holds a key and returns its id. */
  String submit(String queueName, String key, Submission submission) {
    String id = "%016x".formatted(0xa000L + submissions.size() + ticket);
    call(new BatchCall.Submit(queueName, key, id, submission));
    return id;
  }

  /**
   * Returns what callers are told of a job. The answer that there is none waits for a word of the
   * store.
   */
  Optional<CallAnswer> status(String job) {
    String key = configuration.holders().getFirst().apiKeys().iterator().next();
    Optional<Long> asked = call(new BatchCall.Status(NORMAL, key, job));
    long limit = nowMillis + ANSWER_LIMIT_MILLIS;
    while (asked.isPresent() && !answers.containsKey(asked.get()) && nowMillis < limit) {
      run(STEP_MILLIS);
    }
    return asked.map(answers::get);
  }

  void in(long millis, Runnable action) {
    order++;
    queue.add(new Due(nowMillis + millis, order, action));
  }

  /** Lets time pass. */
  void run(long millis) {
    long until = nowMillis + millis;
    while (nowMillis < until) {
      long next = Math.min(until, nowMillis + STEP_MILLIS);
      while (!queue.isEmpty() && queue.peek().at() <= next) {
        Due due = queue.remove();
        nowMillis = Math.max(nowMillis, due.at());
        due.action().run();
      }
      nowMillis = next;
      List.copyOf(executors.values()).forEach(executor -> executor.pass(nowMillis, STEP_MILLIS));
      crashes.bringBack();
      calm.look();
    }
  }

  /** Runs until a condition holds, and fails if it does not in time. */
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

  int claims() {
    return appends.claims();
  }

  /** Returns how many owners there have been. */
  int ownershipsWon() {
    return notes(BatchLogEvent.OWNERSHIP_WON).size();
  }

  /** Returns what all VMs have logged of a kind. */
  List<BatchCommand.Note> notes(BatchLogEvent event) {
    return notes.stream().filter(note -> note.event() == event).toList();
  }

  long nowMillis() {
    return nowMillis;
  }
}
