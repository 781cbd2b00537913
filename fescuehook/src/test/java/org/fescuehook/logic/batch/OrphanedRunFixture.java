package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.VmId;

/**
 * A cluster in which jobs end while owners are replaced, and a measure of how long their runs
 * survive.
 */
final class OrphanedRunFixture {

  /** Work of a task that does not end by itself during a test. */
  static final long LONG_MILLIS = 60_000;

  private static final long REPEAT_MILLIS = 400;

  /** How long an owner that sends no stop decides before it is killed. */
  private static final long OWNER_MILLIS = 500;

  private static final long STEP_MILLIS = 20;
  private static final long LIMIT_MILLIS = 20_000;

  final BatchCluster cluster;

  OrphanedRunFixture() {
    this(5, TestFixtures.configuration());
  }

  OrphanedRunFixture(long seed, BatchConfiguration configuration) {
    cluster = new BatchCluster(5, 4, seed, configuration);
    cluster.awaitOwner();
    cluster.run(200);
  }

  /** Submits a job and waits until one of its tasks runs. */
  String submit(String queue, BatchStep... steps) {
    String job = cluster.submit(queue, Jobs.of(steps));
    cluster.runUntil("the start", 10_000, () -> runs(job));
    return job;
  }

  boolean runs(String job) {
    return cluster.executors.values().stream()
        .flatMap(executor -> executor.running().stream())
        .anyMatch(run -> run.task().job().equals(job));
  }

  /** Returns an executor that runs a task of a job. */
  ExecutorId executorOf(String job) {
    return cluster.executors.values().stream()
        .filter(
            executor -> executor.running().stream().anyMatch(run -> run.task().job().equals(job)))
        .findFirst()
        .orElseThrow()
        .profile()
        .id();
  }

  /** Kills the owner and returns its id. */
  VmId killOwner() {
    VmId former = cluster.owner().orElseThrow().id;
    cluster.vms.get(former).running = false;
    return former;
  }

  /**
   * Cancels a job at the current owner, and repeats that until the cancel is acknowledged, as
   * callers do.
   */
  void cancel(String job) {
    List<Long> tickets = new ArrayList<>();
    long until = cluster.nowMillis() + LIMIT_MILLIS;
    long repeatAt = cluster.nowMillis();
    while (tickets.stream().noneMatch(this::acknowledged)) {
      assertTrue(cluster.nowMillis() < until, () -> "no acknowledgement of the cancel of " + job);
      if (cluster.nowMillis() >= repeatAt) {
        cluster
            .call(new BatchCall.Cancel(BatchCluster.NORMAL, BatchCluster.KEY, job))
            .ifPresent(tickets::add);
        repeatAt = cluster.nowMillis() + REPEAT_MILLIS;
      }
      cluster.run(STEP_MILLIS);
    }
  }

  boolean answered(long ticket) {
    return cluster.answers.containsKey(ticket);
  }

  private boolean acknowledged(long ticket) {
    CallAnswer answer = cluster.answers.get(ticket);
    return answer instanceof CallAnswer.Cancelled || answer instanceof CallAnswer.NoSuchJob;
  }

  /** Cancels a job at an owner whose stops are all lost, and kills that owner. */
  void cancelAndKillOwner(String job) {
    cluster.faults.lostStops = true;
    cancel(job);
    killOwner();
    cluster.faults.lostStops = false;
  }

  /**
   * Kills several owners in succession, each when its first stop is lost, or after {@link
   * #OWNER_MILLIS} if it sends none.
   */
  void killNextOwners(int count) {
    for (int i = 0; i < count; i++) {
      cluster.faults.lostStops = true;
      cluster.awaitOwner();
      int lost = cluster.faults.lostStopCount;
      long until = cluster.nowMillis() + OWNER_MILLIS;
      while (cluster.faults.lostStopCount == lost && cluster.nowMillis() < until) {
        cluster.run(STEP_MILLIS);
      }
      killOwner();
      cluster.faults.lostStops = false;
    }
  }

  /** Returns how long runs of a job stay alive from now on; the limit if they outlive it. */
  long millisUntilGone(String job) {
    long from = cluster.nowMillis();
    while (runs(job) && cluster.nowMillis() < from + LIMIT_MILLIS) {
      cluster.run(STEP_MILLIS);
    }
    return cluster.nowMillis() - from;
  }

  /** Sends a call and returns its answer. */
  CallAnswer answer(BatchCall call) {
    long ticket = cluster.call(call).orElseThrow();
    cluster.runUntil("an answer", LIMIT_MILLIS, () -> cluster.answers.containsKey(ticket));
    return cluster.answers.get(ticket);
  }

  /** Waits until a job's end is stored. */
  void awaitEnd(String job) {
    cluster.runUntil(
        "the end of " + job,
        LIMIT_MILLIS,
        () ->
            cluster.notes(BatchLogEvent.JOB_ENDED).stream()
                .map(BatchCommand.Note::arguments)
                .map(List::getFirst)
                .anyMatch(job::equals));
    cluster.run(STEP_MILLIS);
  }
}
