package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.RepeatedAppend;

/** The ways of appends between the VMs of a {@link BatchCluster} and its store. */
final class ClusterAppends {

  /** Size of each append as far as its way is concerned, in bytes. */
  private static final int BYTES = 1000;

  private final BatchCluster cluster;
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
    boolean away = cluster.faults.streamsDown.contains(append.stream());
    if (away || !cluster.reachesStore(vm)) {
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
        BYTES,
        outcome -> vm.deliver(appended(append, outcome)));
  }

  private static BatchEvent appended(BatchCommand.Append append, AppendOutcome outcome) {
    return new BatchEvent.Appended(append.stream(), append.position(), outcome);
  }

  /** The way of one append of a VM. */
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
      boolean lost = cluster.random.nextDouble() < cluster.faults.lostAnswers;
      boolean late = lost && cluster.random.nextBoolean();
      long delay = late ? 1000 + cluster.random.nextInt(4000) : cluster.faults.storeDelay;
      boolean unanswered = lost || delay > limit.toMillis();
      cluster.in(delay, () -> arrive(unanswered ? outcome -> {} : sink));
      if (unanswered) {
        cluster.in(limit.toMillis(), () -> sink.accept(new AppendOutcome.Unanswered("timeout")));
      }
      return Optional.of(() -> {});
    }

    private void arrive(Consumer<AppendOutcome> sink) {
      sink.accept(
          cluster.store.append(
              append.stream(), append.position(), append.expectedEnd(), append.records()));
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
