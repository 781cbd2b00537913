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

/** A cluster of several decision cores, a log and workers that run on one virtual clock. */
final class VirtualCluster {
  static final long MILLI = 1_000_000;
  static final long WALL_START = 1_700_000_000_000L;
  private static final long LIST_LAG = 5000 * MILLI;

  /** Determines the outcome of an append. */
  enum AppendFault {
    NONE,
    REPLY_LOST,
    RECORD_LOST,
    LATE,
    REFUSED
  }

  /** Determines the outcome of a command to a worker. */
  enum SendFault {
    NONE,
    COMMAND_LOST,
    REPLY_LOST
  }

  private record Step(long atNanos, long order, Runnable action) implements Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      return atNanos == other.atNanos
          ? Long.compare(order, other.order)
          : Long.compare(atNanos, other.atNanos);
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
    while (!steps.isEmpty() && steps.peek().atNanos() <= until) {
      Step step = steps.remove();
      now = step.atNanos();
      step.action().run();
    }
    now = until;
  }

  /** Runs until a condition holds, for a limited time; returns whether it held. */
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
      vm.recordCommand(command);
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

  /** Runs an action that sends something from a VM; a paused VM sends it once it is resumed. */
  private void sendOrBuffer(VirtualVm vm, Runnable action) {
    if (vm.paused) {
      vm.sendBuffer.add(action);
    } else {
      action.run();
    }
  }

  private void append(VirtualVm vm, ControlRecord record) {
    vm.appenderFreeNanos = Math.max(now, vm.appenderFreeNanos) + appendMillis * MILLI;
    long delay = (vm.appenderFreeNanos - now) / MILLI;
    after(delay, () -> sendOrBuffer(vm, () -> completeAppend(vm, record)));
  }

  private void completeAppend(VirtualVm vm, ControlRecord record) {
    if (log.down || vm.logUnreachable) {
      boolean certain = record.getSequence() % 2 == 0;
      deliver(vm, new ControlEvent.AppendFailed(record.getSequence(), certain));
      return;
    }
    AppendFault fault = appendFault.apply(vm, record);
    if (fault == AppendFault.REFUSED) {
      deliver(vm, new ControlEvent.AppendFailed(record.getSequence(), true));
      return;
    }
    Runnable appendToLog = () -> log.append(record.toByteArray(), WALL_START + now / MILLI);
    switch (fault) {
      case NONE, REPLY_LOST -> appendToLog.run();
      case LATE -> after(3000, appendToLog);
      case RECORD_LOST, REFUSED -> {}
    }
    if (fault != AppendFault.NONE) {
      after(1000, () -> deliver(vm, new ControlEvent.AppendFailed(record.getSequence(), false)));
    }
  }

  private void send(VirtualVm vm, WorkerId id, WorkerCommand command) {
    after(1, () -> sendOrBuffer(vm, () -> arrive(vm, workers.get(id), command)));
  }

  private void arrive(VirtualVm vm, FakeWorker worker, WorkerCommand command) {
    boolean unreachable = vm.unreachableWorkers.contains(worker.id);
    SendFault fault = unreachable ? SendFault.COMMAND_LOST : sendFault.apply(vm, command);
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
    if (log.down || vm.logUnreachable) {
      deliver(vm, new ControlEvent.LogUnreachable());
      return;
    }
    page(vm).forEach(event -> deliver(vm, event));
  }

  private List<ControlEvent> page(VirtualVm vm) {
    LogPage page = log.read(vm.core.nextOffset(), 500);
    List<ControlEvent> events = new ArrayList<>();
    page.records().forEach(record -> events.add(new ControlEvent.RecordRead(record)));
    boolean complete =
        page.records().isEmpty() || page.records().getLast().offset() + 1 == page.next();
    if (complete) {
      events.add(new ControlEvent.CaughtUp(page.earliest(), page.next()));
    }
    return events;
  }

  private boolean hears(VirtualVm vm, VirtualVm peer) {
    return peer != vm
        && !peer.dead
        && !peer.paused
        && !vm.peersUnreachable
        && !peer.peersUnreachable;
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
          if (!log.down && !peer.logUnreachable) {
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
      if (!vm.unlisted && (!vm.dead || now - vm.deadSinceNanos < LIST_LAG)) {
        members.add(
            new MemberList.Member(vm.id.value(), MemberList.Role.ENTRY, false, "127.0.0.1", 1));
      }
    }
    vms.forEach(vm -> deliver(vm, new ControlEvent.MembersListed(members)));
  }

  /** Pauses a VM. A page that it was reading is delivered once it is resumed. */
  void pause(VirtualVm vm) {
    if (!log.down && !vm.logUnreachable) {
      vm.backlog.addAll(page(vm));
    }
    vm.paused = true;
  }

  void resume(VirtualVm vm) {
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
    vm.deadSinceNanos = now;
  }

  long ask(VirtualVm vm, Request request) {
    lastTicket++;
    deliver(vm, new ControlEvent.Asked(lastTicket, request));
    return lastTicket;
  }

  /** Submits a request and runs until it is answered. */
  Answer answer(VirtualVm vm, Request request) {
    long ticket = ask(vm, request);
    runUntil(Duration.ofSeconds(30), () -> vm.answers.containsKey(ticket));
    return vm.answers.get(ticket);
  }

  Optional<VirtualVm> owner() {
    return vms.stream().filter(vm -> !vm.dead && vm.core.owner()).findFirst();
  }
}
