package org.fescuehook.logic.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.trace.ControlTraceWriter;
import org.fescuehook.logic.platform.MemberList;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.logic.worker.WorkerPort.WorkerReply;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.log.LogPage;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.wire.ControlRecord;

/** Several decision cores, a log and workers on one virtual clock. */
final class VirtualCluster {
  static final long MILLI = 1_000_000;
  static final long WALL_START = 1_700_000_000_000L;
  private static final long LIST_LAG = 5000 * MILLI;

  /** What becomes of an append. */
  enum AppendFault {
    NONE,
    REPLY_LOST,
    RECORD_LOST,
    LATE,
    REFUSED
  }

  /** What becomes of a command to a worker. */
  enum SendFault {
    NONE,
    COMMAND_LOST,
    REPLY_LOST
  }

  private record Step(long at, long order, Runnable action) implements Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      return at == other.at ? Long.compare(order, other.order) : Long.compare(at, other.at);
    }
  }

  final FakeLog log = new FakeLog();
  final FirstFitScheduler scheduler = new FirstFitScheduler();
  final Map<WorkerId, FakeWorker> workers = new TreeMap<>();
  final List<VirtualVm> vms = new ArrayList<>();
  final Map<String, Long> acceptedAt = new HashMap<>();
  BiFunction<VirtualVm, ControlRecord, AppendFault> appendFault = (vm, r) -> AppendFault.NONE;
  BiFunction<VirtualVm, WorkerCommand, SendFault> sendFault = (vm, c) -> SendFault.NONE;
  long appendMillis = 3;
  Runnable check = () -> {};
  private final ControlPreferences preferences;
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private long now;
  private long order;
  private long lastTicket;
  private int incarnations;

  VirtualCluster(int vmCount, int workerCount) {
    this(vmCount, workerCount, ControlPreferences.DEFAULT);
  }

  VirtualCluster(int vmCount, int workerCount, ControlPreferences preferences) {
    this.preferences = preferences;
    for (int i = 0; i < workerCount; i++) {
      WorkerId id = TestDeclarations.worker(i);
      workers.put(id, new FakeWorker(id, TestDeclarations.CAPACITY, () -> now));
    }
    for (int i = 0; i < vmCount; i++) {
      addVm("vm-" + i);
    }
    every(50, () -> check.run());
    every(1000, this::sendMembers);
    every(500, this::sendHeartbeats);
  }

  VirtualVm addVm(String name) {
    VmId id = new VmId(name);
    incarnations++;
    ControlCore core =
        new ControlCore(
            new IdentityPreferences(id, new FailureDomain("domain")),
            "i" + incarnations,
            preferences,
            scheduler,
            new TestDeclarations.Reader());
    VirtualVm vm = new VirtualVm(id, core);
    vms.add(vm);
    every(50, () -> deliver(vm, new ControlEvent.Tick()), () -> vm.dead);
    every(20, () -> read(vm), () -> vm.dead);
    return vm;
  }

  long now() {
    return now;
  }

  void after(long millis, Runnable action) {
    order++;
    steps.add(new Step(now + millis * MILLI, order, action));
  }

  private void every(long millis, Runnable action) {
    every(millis, action, () -> false);
  }

  private void every(long millis, Runnable action, BooleanSupplier end) {
    after(
        millis,
        () -> {
          if (!end.getAsBoolean()) {
            action.run();
            every(millis, action, end);
          }
        });
  }

  void run(Duration time) {
    long until = now + time.toNanos();
    while (!steps.isEmpty() && steps.peek().at() <= until) {
      Step step = steps.remove();
      now = step.at();
      step.action().run();
    }
    now = until;
  }

  /** Runs until a condition holds, at most for a time; returns whether it held. */
  boolean runUntil(Duration most, BooleanSupplier condition) {
    long until = now + most.toNanos();
    while (now < until) {
      if (condition.getAsBoolean()) {
        return true;
      }
      run(Duration.ofMillis(10));
    }
    return condition.getAsBoolean();
  }

  private void deliver(VirtualVm vm, ControlEvent event) {
    if (vm.dead) {
      return;
    }
    if (vm.paused) {
      if (!(event instanceof ControlEvent.Tick)) {
        vm.backlog.add(event);
      }
      return;
    }
    long wall = WALL_START + now / MILLI;
    List<ControlCommand> commands = vm.core.apply(event, now, wall);
    if (vm.recording) {
      vm.trace.addAll(ControlTraceWriter.lines(event, now, wall, commands));
    }
    for (ControlCommand command : commands) {
      vm.noteCommand(command);
      execute(vm, command);
    }
  }

  private void execute(VirtualVm vm, ControlCommand command) {
    switch (command) {
      case ControlCommand.Append(ControlRecord record) -> append(vm, record);
      case ControlCommand.Send(WorkerId worker, WorkerCommand sent) -> send(vm, worker, sent);
      case ControlCommand.Reply(long ticket, Answer.Accepted(JobId job)) ->
          acceptedAt.putIfAbsent(job.value(), now);
      default -> {}
    }
  }

  /** What leaves a VM while it is paused leaves when it wakes. */
  private void leave(VirtualVm vm, Runnable action) {
    if (vm.paused) {
      vm.sendBuffer.add(action);
    } else {
      action.run();
    }
  }

  private void append(VirtualVm vm, ControlRecord record) {
    vm.appenderFree = Math.max(now, vm.appenderFree) + appendMillis * MILLI;
    long delay = (vm.appenderFree - now) / MILLI;
    after(delay, () -> leave(vm, () -> land(vm, record)));
  }

  private void land(VirtualVm vm, ControlRecord record) {
    if (log.down || vm.cutFromLog) {
      boolean certain = record.getSequence() % 2 == 0;
      deliver(vm, new ControlEvent.AppendFailed(record.getSequence(), certain));
      return;
    }
    AppendFault fault = appendFault.apply(vm, record);
    if (fault == AppendFault.REFUSED) {
      deliver(vm, new ControlEvent.AppendFailed(record.getSequence(), true));
      return;
    }
    Runnable landing = () -> log.append(record.toByteArray(), WALL_START + now / MILLI);
    switch (fault) {
      case NONE, REPLY_LOST -> landing.run();
      case LATE -> after(3000, landing);
      case RECORD_LOST, REFUSED -> {}
    }
    if (fault != AppendFault.NONE) {
      after(1000, () -> deliver(vm, new ControlEvent.AppendFailed(record.getSequence(), false)));
    }
  }

  private void send(VirtualVm vm, WorkerId id, WorkerCommand command) {
    after(1, () -> leave(vm, () -> arrive(vm, workers.get(id), command)));
  }

  private void arrive(VirtualVm vm, FakeWorker worker, WorkerCommand command) {
    boolean parted = vm.partedFrom.contains(worker.id);
    SendFault fault = parted ? SendFault.COMMAND_LOST : sendFault.apply(vm, command);
    Optional<WorkerReply> reply = Optional.empty();
    if (!worker.dead && fault != SendFault.COMMAND_LOST) {
      reply = Optional.of(worker.handle(command));
    }
    if (reply.isPresent() && fault == SendFault.NONE) {
      WorkerReply answer = reply.get();
      after(1, () -> deliver(vm, new ControlEvent.WorkerAnswered(answer)));
      return;
    }
    WorkerReply silent = new WorkerReply.Silent(worker.id, command, "test");
    after(1000, () -> deliver(vm, new ControlEvent.WorkerAnswered(silent)));
  }

  private void read(VirtualVm vm) {
    if (vm.paused) {
      return;
    }
    if (log.down || vm.cutFromLog) {
      deliver(vm, new ControlEvent.LogUnreachable());
      return;
    }
    page(vm).forEach(event -> deliver(vm, event));
  }

  private List<ControlEvent> page(VirtualVm vm) {
    LogPage page = log.read(vm.core.nextOffset(), 500);
    List<ControlEvent> events = new ArrayList<>();
    page.records().forEach(record -> events.add(new ControlEvent.RecordRead(record)));
    boolean whole =
        page.records().isEmpty() || page.records().getLast().offset() + 1 == page.next();
    if (whole) {
      events.add(new ControlEvent.CaughtUp(page.earliest(), page.next()));
    }
    return events;
  }

  private boolean hears(VirtualVm vm, VirtualVm peer) {
    return peer != vm && !peer.dead && !peer.paused && !vm.cutFromPeers && !peer.cutFromPeers;
  }

  private void sendHeartbeats() {
    for (VirtualVm vm : vms) {
      Set<VmId> alive = new HashSet<>();
      Set<VmId> reaching = new HashSet<>();
      Map<VmId, Long> folded = new HashMap<>();
      for (VirtualVm peer : vms) {
        if (hears(vm, peer)) {
          alive.add(peer.id);
          folded.put(peer.id, peer.core.nextOffset());
          if (!log.down && !peer.cutFromLog) {
            reaching.add(peer.id);
          }
        }
      }
      deliver(vm, new ControlEvent.PeersHeard(alive, reaching, Set.of()));
      deliver(vm, new ControlEvent.PeersFolded(folded));
    }
  }

  private void sendMembers() {
    List<MemberList.Member> members = new ArrayList<>();
    for (VirtualVm vm : vms) {
      if (!vm.unlisted && (!vm.dead || now - vm.deadSince < LIST_LAG)) {
        members.add(
            new MemberList.Member(vm.id.value(), MemberList.Role.ENTRY, false, "127.0.0.1", 1));
      }
    }
    vms.forEach(vm -> deliver(vm, new ControlEvent.MembersListed(members)));
  }

  /** Pauses a VM; a page that it was reading reaches it when it wakes. */
  void pause(VirtualVm vm) {
    if (!log.down && !vm.cutFromLog) {
      vm.backlog.addAll(page(vm));
    }
    vm.paused = true;
  }

  void wake(VirtualVm vm) {
    vm.paused = false;
    List<Runnable> buffered = List.copyOf(vm.sendBuffer);
    vm.sendBuffer.clear();
    buffered.forEach(Runnable::run);
    List<ControlEvent> events = List.copyOf(vm.backlog);
    vm.backlog.clear();
    events.forEach(event -> deliver(vm, event));
  }

  void kill(VirtualVm vm) {
    vm.dead = true;
    vm.deadSince = now;
  }

  long ask(VirtualVm vm, Request request) {
    lastTicket++;
    deliver(vm, new ControlEvent.Asked(lastTicket, request));
    return lastTicket;
  }

  /** Asks and runs until the answer comes. */
  Answer answer(VirtualVm vm, Request request) {
    long ticket = ask(vm, request);
    runUntil(Duration.ofSeconds(30), () -> vm.answers.containsKey(ticket));
    return vm.answers.get(ticket);
  }

  Optional<VirtualVm> owner() {
    return vms.stream().filter(vm -> !vm.dead && vm.core.owner()).findFirst();
  }
}
