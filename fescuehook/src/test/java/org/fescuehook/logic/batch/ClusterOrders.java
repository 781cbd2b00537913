package org.fescuehook.logic.batch;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.model.fleet.ExecutorId;

/** Delivers orders from the VMs of a {@link BatchCluster} to its executors, and their answers. */
final class ClusterOrders {

  /** Number of orders sent to each executor. */
  final Map<ExecutorId, Integer> sent = new HashMap<>();

  /** Executors whose answer to a poll has reached an owner. */
  final Set<ExecutorId> reached = new HashSet<>();

  private static final long CONNECT_TIMEOUT_MILLIS = 400;
  private static final int PROBE_CONNECTIONS = 3;
  private static final long PROBE_TIMEOUT_MILLIS = 150;

  private final BatchCluster cluster;
  private int starts;
  private int toFormerAddress;

  ClusterOrders(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /** Returns how many start orders were sent, including repeated ones. */
  int starts() {
    return starts;
  }

  /** Returns how many orders named an address that their executor had before it restarted. */
  int toFormerAddress() {
    return toFormerAddress;
  }

  private boolean namesFormerAddress(BatchCommand.Order command) {
    FakeExecutor executor = cluster.executors.get(command.executor().id());
    return executor != null && !executor.profile().address().equals(command.executor().address());
  }

  void send(BatchCluster.Vm vm, BatchCommand.Order command) {
    ExecutorId id = command.executor().id();
    ClusterFaults faults = cluster.faults;
    sent.merge(id, 1, Integer::sum);
    boolean start = command.order() instanceof BatchCommand.ExecutorOrder.Start;
    starts += start ? 1 : 0;
    if (command.order() instanceof BatchCommand.ExecutorOrder.Start order) {
      cluster.evacuations.checkOrder(vm, order.run(), command.executor());
    }
    if (command.order() instanceof BatchCommand.ExecutorOrder.Stop order) {
      cluster.longRunningStops.check(order.run());
    }
    if (faults.lostStops && command.order() instanceof BatchCommand.ExecutorOrder.Stop) {
      faults.lostStopCount++;
      unanswered(vm, command, "timeout");
      return;
    }
    if (cluster.crashes.replaced(id)) {
      cluster.in(1, () -> ended(vm, command, new OrderOutcome.OtherIncarnation()));
      return;
    }
    if (cluster.crashes.refusesConnections(id) || (start && faults.startsRefused)) {
      cluster.in(1, () -> ended(vm, command, new OrderOutcome.NotSent("refused", false)));
      return;
    }
    if (namesFormerAddress(command)) {
      toFormerAddress++;
      cluster.in(1, () -> ended(vm, command, new OrderOutcome.NotSent("refused", false)));
      return;
    }
    if (!connects(vm, id)) {
      cluster.in(
          Math.min(CONNECT_TIMEOUT_MILLIS, command.timeout().toMillis()),
          () -> ended(vm, command, new OrderOutcome.NotSent("connection timed out", true)));
      return;
    }
    boolean reachable = cluster.executors.containsKey(id) && !faults.silent.contains(id);
    boolean late =
        reachable
            && !faults.lateOrdersDisabled
            && cluster.random.nextDouble() < faults.lateOrderRate;
    if (!reachable || late) {
      if (late) {
        long sentAt = cluster.nowMillis();
        cluster.in(faults.lateOrderMillis(cluster.random), () -> deliverLate(id, command, sentAt));
      }
      unanswered(vm, command, "timeout");
      return;
    }
    vm.occupyForExchange();
    if (vm.backlogMillis() > command.timeout().toMillis()) {
      // The VM reads the answer only after the time limit; the exchange occupies its thread anyway.
      unanswered(vm, command, "read too late");
      return;
    }
    cluster.in(1 + vm.backlogMillis(), () -> deliver(vm, id, command));
  }

  private void unanswered(BatchCluster.Vm vm, BatchCommand.Order command, String reason) {
    cluster.in(
        command.timeout().toMillis(),
        () -> ended(vm, command, new OrderOutcome.Unanswered(reason)));
  }

  private void deliver(BatchCluster.Vm vm, ExecutorId id, BatchCommand.Order command) {
    boolean poll = command.order() instanceof BatchCommand.ExecutorOrder.Poll;
    FakeExecutor executor = cluster.executors.get(id);
    OrderOutcome outcome =
        executor == null || !executor.up()
            ? new OrderOutcome.Unanswered("closed")
            : executor.handle(command.fenceToken(), command.order(), cluster.nowMillis());
    cluster.in(poll ? cluster.faults.pollMillis : 1, () -> ended(vm, command, outcome));
  }

  private void deliverLate(ExecutorId id, BatchCommand.Order command, long sentAt) {
    FakeExecutor executor = cluster.executors.get(id);
    if (executor != null) {
      cluster.work.deliverLate(
          sentAt,
          () -> executor.handle(command.fenceToken(), command.order(), cluster.nowMillis()));
    }
  }

  private void ended(BatchCluster.Vm vm, BatchCommand.Order command, OrderOutcome outcome) {
    if (outcome instanceof OrderOutcome.Polled) {
      reached.add(command.executor().id());
    }
    vm.deliver(new BatchEvent.OrderEnded(command.executor().id(), command.number(), outcome));
  }

  /** Tells whether a connection of a VM to an executor opens, which may be a matter of chance. */
  private boolean connects(BatchCluster.Vm vm, ExecutorId id) {
    boolean cut = cluster.faults.cutFromExecutors.getOrDefault(vm.id, Set.of()).contains(id);
    return !cut || cluster.random.nextDouble() >= cluster.faults.cutLossRate;
  }

  /** Tells whether each of several connections opens, as a probe requires. */
  private boolean connectsRepeatedly(BatchCluster.Vm vm, ExecutorId id) {
    return IntStream.range(0, PROBE_CONNECTIONS).allMatch(connection -> connects(vm, id));
  }

  void probe(BatchCluster.Vm vm, BatchCommand.ProbeExecutors probe) {
    Set<InetSocketAddress> reached = new HashSet<>();
    for (FakeExecutor executor : cluster.executors.values()) {
      ExecutorId id = executor.profile().id();
      InetSocketAddress address = executor.profile().address();
      boolean open = executor.up() && !cluster.faults.silent.contains(id);
      if (probe.addresses().contains(address) && open && connectsRepeatedly(vm, id)) {
        reached.add(address);
      }
    }
    boolean timedOut = reached.size() < probe.addresses().size();
    cluster.in(
        timedOut ? PROBE_TIMEOUT_MILLIS : 2,
        () -> vm.deliver(new BatchEvent.ExecutorsProbed(probe.number(), reached)));
  }

  void askAdvice(BatchCluster.Vm vm, BatchCommand.AskAdvice question) {
    FakeAdvice advice = cluster.work.advice;
    FakeAdvice.CallEnd end = advice.call(vm.id, question.executors().size(), cluster.nowMillis());
    cluster.in(end.atMillis() - cluster.nowMillis(), () -> vm.deliver(advice.ended(question, end)));
  }
}
