package org.fescuehook.logic.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;

/**
 * Crashes executors of a {@link BatchCluster} and restarts them, at the same address unless another
 * port is set.
 */
final class ClusterCrashes {

  /** How long an executor stays down after a task has crashed it. */
  private static final long DOWN_MILLIS = 3200;

  /** Time without a heartbeat after which the list drops an executor's entry. */
  private static final long LISTED_MILLIS = 4500;

  private final BatchCluster cluster;
  private final Set<ExecutorId> down = new HashSet<>();
  private final Set<ExecutorId> replaced = new HashSet<>();
  private int restarts;
  private long downMillis = DOWN_MILLIS;
  private long listedAfterMillis;
  private boolean idsKept;
  private long clockBackMillis;
  private OptionalInt nextPort = OptionalInt.empty();

  ClusterCrashes(BatchCluster cluster) {
    this.cluster = cluster;
  }

  /** Sets how long an executor stays down after a task has crashed it. */
  void setDownMillis(long millis) {
    downMillis = millis;
  }

  /** Restarts the executors that tasks have crashed since the last call. */
  void restartCrashed() {
    for (FakeExecutor executor : List.copyOf(cluster.executors.values())) {
      if (!executor.up()) {
        restart(executor.profile().id(), downMillis);
      }
    }
  }

  /** Crashes an executor; another incarnation answers at its address after {@code awayMillis}. */
  void restart(ExecutorId id, long awayMillis) {
    if (idsKept) {
      restartWithSameId(id, awayMillis, -cluster.nowMillis() - awayMillis);
      return;
    }
    FakeExecutor executor = cluster.executors.remove(id);
    executor.crash(cluster.nowMillis());
    cluster.work.forgetEnds(id);
    down.add(id);
    restarts++;
    ExecutorProfile next = TestFixtures.withId(executor.profile(), "again-" + restarts);
    cluster.in(
        awayMillis,
        () -> {
          replaced.add(id);
          cluster.addExecutor(next);
        });
    cluster.in(LISTED_MILLIS, () -> cluster.unlist(id));
  }

  /** Makes all executors report when they started. */
  void reportStartTimes() {
    for (FakeExecutor executor : List.copyOf(cluster.executors.values())) {
      cluster.addExecutor(TestFixtures.withStartTime(executor.profile(), cluster.wallMillis()));
    }
  }

  /** Sets whether a restarted executor keeps its id. */
  void keepIds(boolean kept) {
    idsKept = kept;
  }

  /** Sets how far the wall clock of an executor is set back before it restarts under its id. */
  void setClockBackMillis(long millis) {
    clockBackMillis = millis;
  }

  /** Sets the port at which executors that restart under their ids listen from then on. */
  void setNextPort(int port) {
    nextPort = OptionalInt.of(port);
  }

  /** Sets how long after its restart an executor is listed again. */
  void setListedAfterMillis(long millis) {
    listedAfterMillis = millis;
  }

  /**
   * Crashes an executor and restarts it under the same id after {@code awayMillis}. The new
   * incarnation has no state of the previous one, and its clock and the sequence numbers of its
   * ends start anew.
   */
  void restartWithSameId(ExecutorId id, long awayMillis, long clockAhead) {
    FakeExecutor executor = cluster.executors.remove(id);
    executor.crash(cluster.nowMillis());
    cluster.work.forgetEnds(id);
    down.add(id);
    restarts++;
    cluster.in(
        awayMillis,
        () -> {
          down.remove(id);
          ExecutorProfile restarted =
              TestFixtures.withStartTime(
                  executor.profile(), cluster.wallMillis() - clockBackMillis);
          ExecutorProfile next =
              nextPort.isPresent()
                  ? TestFixtures.withPort(restarted, nextPort.getAsInt())
                  : restarted;
          cluster.addExecutor(new FakeExecutor(next, clockAhead, cluster.work));
          cluster.in(listedAfterMillis, () -> listIfUp(next));
        });
    cluster.in(LISTED_MILLIS, () -> unlistIfDown(id));
  }

  private void listIfUp(ExecutorProfile profile) {
    FakeExecutor executor = cluster.executors.get(profile.id());
    if (executor != null && executor.profile().equals(profile)) {
      cluster.list(profile.id());
    }
  }

  private void unlistIfDown(ExecutorId id) {
    if (down.contains(id)) {
      cluster.unlist(id);
    }
  }

  /** Returns whether nothing listens at the address of an executor. */
  boolean refusesConnections(ExecutorId id) {
    return down.contains(id) && !replaced.contains(id);
  }

  /** Returns whether another incarnation answers at the address of an executor. */
  boolean replaced(ExecutorId id) {
    return replaced.contains(id);
  }

  /** Returns the executors that are running. */
  List<ExecutorId> up() {
    return new ArrayList<>(cluster.executors.keySet());
  }

  int restarts() {
    return restarts;
  }
}
