package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.RepeatedAppend;
import org.fescuehook.logic.batch.store.StreamName;

/** Delivers appends from the VMs of a {@link BatchCluster} to its store, with delays and losses. */
final class ClusterAppends {

  /** Size of every append as far as its time limit is concerned, in bytes. */
  private static final int APPEND_BYTES = 1000;

  /** Pending work of a stream beyond which it refuses further appends. */
  private static final long LONGEST_QUEUE_MILLIS = 2000;

  private final BatchCluster cluster;

  /** When each stream will have processed its pending appends, in milliseconds. */
  private final Map<StreamName, Long> busyUntil = new EnumMap<>(StreamName.class);

  private int claims;

  ClusterAppends(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /** Returns how many claims of ownership were sent. */
  int claims() {
    return claims;
  }

  void send(BatchCluster.Vm vm, BatchCommand.Append append) {
    if (vm.backlogMillis() > 0) {
      cluster.in(vm.backlogMillis(), () -> send(vm, append));
      return;
    }
    claims += append.expectedEnd().isPresent() ? 1 : 0;
    boolean streamDown = cluster.faults.streamsDown.contains(append.stream());
    if (streamDown || !cluster.reachesStore(vm)) {
      AppendOutcome outcome =
          cluster.random.nextBoolean()
              ? new AppendOutcome.Refused("down")
              : new AppendOutcome.Unanswered("silent");
      cluster.in(200, () -> vm.deliver(appended(append, outcome)));
      return;
    }
    RepeatedAppend.begin(
        new Link(vm, append),
        vm.answerTimes.get(append.stream()),
        APPEND_BYTES,
        outcome -> vm.deliver(appended(append, outcome)));
  }

  private static BatchEvent appended(BatchCommand.Append append, AppendOutcome outcome) {
    return new BatchEvent.Appended(append.stream(), append.position(), outcome);
  }

  /** The connection over which a VM sends one append, possibly several times. */
  private final class Link implements RepeatedAppend.Link {
    private final BatchCluster.Vm vm;
    private final BatchCommand.Append append;

    Link(BatchCluster.Vm vm, BatchCommand.Append append) {
      this.vm = vm;
      this.append = append;
    }

    @Override
    public long nowNanos() {
      return Duration.ofMillis(cluster.nowMillis()).toNanos();
    }

    @Override
    public Optional<Sending> send(Duration limit, Consumer<AppendOutcome> sink) {
      boolean lost = cluster.random.nextDouble() < cluster.faults.lostAnswerRate;
      boolean late = lost && cluster.random.nextBoolean();
      if (late) {
        cluster.in(1000 + cluster.random.nextInt(4000), this::apply);
      } else {
        enqueue(limit, lost ? outcome -> {} : sink);
      }
      if (lost) {
        cluster.in(limit.toMillis(), () -> sink.accept(new AppendOutcome.Unanswered("timeout")));
      }
      return Optional.of(() -> {});
    }

    private void enqueue(Duration limit, Consumer<AppendOutcome> sink) {
      long now = cluster.nowMillis();
      long start = Math.max(now, busyUntil.getOrDefault(append.stream(), now));
      if (start - now > LONGEST_QUEUE_MILLIS) {
        answer(
            cluster.faults.storeDelayMillis, limit, new AppendOutcome.Refused("status 503"), sink);
        return;
      }
      long done = start + cluster.faults.appendMillis;
      busyUntil.put(append.stream(), done);
      cluster.in(
          done - now,
          () -> {
            Duration left = limit.minusMillis(done - now);
            answer(cluster.faults.storeDelayMillis, left, apply(), sink);
          });
    }

    private void answer(
        long millis, Duration limit, AppendOutcome outcome, Consumer<AppendOutcome> sink) {
      boolean inTime = millis <= limit.toMillis();
      cluster.in(
          inTime ? millis : Math.max(0, limit.toMillis()),
          () -> sink.accept(inTime ? outcome : new AppendOutcome.Unanswered("timeout")));
    }

    private AppendOutcome apply() {
      return cluster.store.append(
          append.stream(), append.position(), append.expectedEnd(), append.records());
    }

    @Override
    public void after(Duration delay, Runnable action) {
      cluster.in(
          delay.toMillis(),
          () -> {
            if (vm.running && !vm.frozen) {
              action.run();
            }
          });
    }
  }
}
