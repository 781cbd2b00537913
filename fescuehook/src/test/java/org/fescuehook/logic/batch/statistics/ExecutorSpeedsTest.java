package org.fescuehook.logic.batch.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.LiveRun;
import org.junit.jupiter.api.Test;

/** Guards against speeds that follow long tasks, wrong estimates or single reports. */
class ExecutorSpeedsTest {

  private static final long ESTIMATE = 2000;

  /** Standard deviation of the logarithm of a task's duration within its job. */
  private static final double TASK_ERROR = 0.3;

  private final ReportedRuns reported = new ReportedRuns(true);
  private final List<ExecutorState> fleet =
      IntStream.range(0, 24).mapToObj(i -> ReportedRuns.executor("e" + i, "r" + i / 8)).toList();
  private final Random random = new Random(7);

  /**
   * Runs jobs that take longer than estimated by a factor.
   *
   * @param error standard deviation of the logarithm of the estimates
   */
  private void work(int jobs, double bias, double error, List<Double> speeds, boolean gangs) {
    for (int job = 0; job < jobs; job++) {
      List<Integer> chosen = new ArrayList<>(IntStream.range(0, fleet.size()).boxed().toList());
      java.util.Collections.shuffle(chosen, random);
      int width = gangs ? 3 : 12;
      List<ExecutorState> executors = chosen.subList(0, width).stream().map(fleet::get).toList();
      double slowness = bias * Math.exp(error * random.nextGaussian());
      List<LiveRun> runs =
          reported.start(
              "bulk",
              gangs ? ReportedRuns.gang(width, ESTIMATE) : ReportedRuns.tasks(width, ESTIMATE),
              executors);
      double slowest =
          chosen.subList(0, width).stream().mapToDouble(speeds::get).min().orElseThrow();
      reported.pass(800);
      for (int i = 0; i < width; i++) {
        double speed =
            gangs
                ? slowest
                : speeds.get(chosen.get(i)) * Math.exp(TASK_ERROR * random.nextGaussian());
        reported.report(
            executors.get(i), runs.get(i), Math.min(99, 80_000.0 * speed / slowness / ESTIMATE));
      }
      for (int i = 0; i < width; i++) {
        executors.get(i).remove(runs.get(i));
      }
    }
  }

  private List<Double> speeds(double... kinds) {
    return IntStream.range(0, fleet.size()).mapToObj(i -> kinds[i % kinds.length]).toList();
  }

  private double meanSpeed(int kind, int kinds) {
    return IntStream.range(0, fleet.size())
        .filter(i -> i % kinds == kind)
        .mapToDouble(i -> reported.speed(fleet.get(i)))
        .average()
        .orElseThrow();
  }

  @Test
  void threeSpeedsAreToldApart() {
    work(30, 1, 0.5, speeds(0.6, 1, 1.6), false);
    assertEquals(0.6, meanSpeed(0, 3), 0.12);
    assertEquals(1, meanSpeed(1, 3), 0.12);
    assertEquals(1.6, meanSpeed(2, 3), 0.25);
  }

  @Test
  void gangsShowWhichExecutorsAreNotTheSlowest() {
    work(120, 1, 0.2, speeds(0.6, 1.2, 1.2), true);
    assertTrue(
        meanSpeed(0, 3) < 0.8 * meanSpeed(1, 3),
        () -> "slow: " + meanSpeed(0, 3) + " others: " + meanSpeed(1, 3));
  }

  /** Guards against an owner that begins without the speeds that the former one has stored. */
  @Test
  void nextOwnerBeginsWithTheStoredSpeeds() {
    work(30, 1, 0.5, speeds(0.6, 1, 1.6), false);
    byte[] record = reported.speeds.nextRecord(reported.nowNanos()).orElseThrow();
    assertEquals(5 * fleet.size(), record.length);
    ExecutorSpeeds next = new ExecutorSpeeds(true);
    next.restore(record);
    // The spread of the fleet is known once the next owner has seen its executors.
    fleet.forEach(executor -> next.speed(executor.incarnation(), reported.nowNanos()));
    reported.pass(600);
    for (int kind = 0; kind < 3; kind++) {
      double before = meanSpeed(kind, 3);
      int first = kind;
      double after =
          IntStream.range(0, fleet.size())
              .filter(i -> i % 3 == first)
              .mapToDouble(i -> next.speed(fleet.get(i).incarnation(), reported.nowNanos()))
              .average()
              .orElseThrow();
      assertEquals(before, after, 0.25 * before);
    }
  }

  @Test
  void equalExecutorsNeedNoRecord() {
    work(30, 1, 0.5, speeds(1), false);
    long apart = fleet.stream().filter(executor -> reported.speedClass(executor) != 0).count();
    assertEquals(apart > 0, reported.speeds.nextRecord(reported.nowNanos()).isPresent());
  }

  @Test
  void equalExecutorsCountAsEqualDespiteWrongEstimates() {
    work(30, 1, 0.5, speeds(1), false);
    long apart = fleet.stream().filter(executor -> reported.speedClass(executor) != 0).count();
    assertTrue(apart <= 2, () -> apart + " of 24 have another class");
  }

  @Test
  void queueThatAlwaysTakesLongerMakesNoExecutorSlow() {
    work(30, 2.5, 0.5, speeds(1), false);
    double mean = fleet.stream().mapToDouble(reported::speed).average().orElseThrow();
    assertEquals(1, mean, 0.1);
  }

  @Test
  void oneWrongReportChangesLittle() {
    ExecutorState executor = fleet.getFirst();
    LiveRun run = reported.startOne("bulk", ESTIMATE, executor);
    reported.pass(1000);
    reported.report(executor, run, 0);
    assertTrue(reported.speed(executor) > 0.499, () -> "speed " + reported.speed(executor));
  }

  @Test
  void longTaskBesideNormalRunsIsNoEvidence() {
    ExecutorState executor = fleet.getFirst();
    List<LiveRun> runs =
        reported.start("bulk", ReportedRuns.tasks(6, ESTIMATE), List.of(executor, fleet.get(1)));
    reported.pass(1000);
    for (int i = 0; i < 6; i++) {
      reported.report(i % 2 == 0 ? executor : fleet.get(1), runs.get(i), i == 4 ? 7 : 50);
    }
    assertTrue(reported.speed(executor) > 0.85, () -> "speed " + reported.speed(executor));
  }

  @Test
  void executorThatTurnsSevenTimesSlowerLosesItsRatingAndRegainsIt() {
    ExecutorState executor = fleet.getFirst();
    LiveRun one = reported.startOne("bulk", 10_000, executor);
    LiveRun other = reported.startOne("bulk", 10_000, executor);
    reported.pass(2000);
    reported.report(executor, one, 20);
    reported.report(executor, other, 20);
    reported.pass(1000);
    reported.report(executor, one, 21);
    reported.report(executor, other, 21);
    assertTrue(reported.speed(executor) < 0.45, () -> "slow: " + reported.speed(executor));
    for (int second = 0; second < 6; second++) {
      reported.pass(1000);
      reported.report(executor, one, 22 + 1.4 * second);
      reported.report(executor, other, 22 + 1.4 * second);
    }
    assertTrue(reported.speed(executor) < 0.25, () -> "slow: " + reported.speed(executor));
    reported.pass(1000);
    reported.report(executor, one, 39);
    reported.report(executor, other, 39);
    reported.pass(1000);
    reported.report(executor, one, 49);
    reported.report(executor, other, 49);
    assertTrue(reported.speed(executor) > 0.8, () -> "sound: " + reported.speed(executor));
  }

  @Test
  void slowdownThatNothingShowsAnyMoreIsForgotten() {
    ExecutorState executor = fleet.getFirst();
    LiveRun run = reported.startOne("bulk", 10_000, executor);
    reported.pass(2000);
    reported.report(executor, run, 20);
    reported.pass(1000);
    reported.report(executor, run, 21);
    assertTrue(reported.speed(executor) < 0.6);
    reported.pass(9000);
    assertTrue(reported.speed(executor) > 0.9);
  }

  @Test
  void gangOfWhichOneMemberTurnsSlowMakesOnlyThoseSuspectWithoutNormalRuns() {
    List<ExecutorState> members = fleet.subList(0, 4);
    List<LiveRun> gang = reported.start("normal", ReportedRuns.gang(4, 10_000), members);
    List<LiveRun> others = reported.start("bulk", ReportedRuns.tasks(3, 10_000), members);
    for (int second = 1; second <= 4; second++) {
      reported.pass(1000);
      for (int i = 0; i < 3; i++) {
        reported.report(members.get(i), others.get(i), 10 * second);
      }
      for (int i = 0; i < 4; i++) {
        reported.report(members.get(i), gang.get(i), second <= 2 ? 10 * second : 18 + second);
      }
    }
    assertTrue(reported.speed(members.get(3)) < 0.5);
    assertTrue(reported.speed(members.get(0)) > 0.8);
  }

  @Test
  void memberThatProgressesLessThanTheOthersOfItsGangIsSlow() {
    List<ExecutorState> members = fleet.subList(0, 4);
    List<LiveRun> gang = reported.start("normal", ReportedRuns.gang(4, 6000), members);
    for (int second = 1; second <= 3; second++) {
      reported.pass(1000);
      for (int i = 0; i < 4; i++) {
        reported.report(members.get(i), gang.get(i), second * (i == 2 ? 3 : 18));
      }
    }
    assertTrue(reported.speed(members.get(2)) < 0.75 * reported.speed(members.get(0)));
  }

  @Test
  void runsThatAreSlowForOtherReasonsAreNoEvidence() {
    LiveRun throttled = reported.startOne("bulk", ESTIMATE, fleet.getFirst());
    throttled.markThrottled();
    List<LiveRun> spread =
        reported.start(
            "normal",
            ReportedRuns.gangInOneRack(2, ESTIMATE),
            List.of(fleet.getFirst(), fleet.getLast()));
    reported.pass(1000);
    reported.report(fleet.getFirst(), throttled, 1);
    reported.report(fleet.getFirst(), spread.getFirst(), 1);
    reported.report(fleet.getLast(), spread.getLast(), 1);
    assertEquals(1, reported.speed(fleet.getFirst()));
    assertEquals(1, reported.speed(fleet.getLast()));
  }

  @Test
  void nextIncarnationIsUnknown() {
    ExecutorState before = ReportedRuns.executor("x", "r", OptionalLong.of(1));
    LiveRun run = reported.startOne("bulk", 10_000, before);
    reported.pass(2000);
    reported.report(before, run, 20);
    reported.pass(1000);
    reported.report(before, run, 21);
    assertTrue(reported.speed(before) < 0.6);
    ExecutorState after = ReportedRuns.executor("x", "r", OptionalLong.of(2));
    assertEquals(1, reported.speed(after));
  }

  @Test
  void nothingIsLearnedWhileSwitchedOff() {
    ReportedRuns off = new ReportedRuns(false);
    LiveRun run = off.startOne("bulk", ESTIMATE, fleet.getFirst());
    off.pass(1000);
    off.report(fleet.getFirst(), run, 2);
    off.done(fleet.getFirst(), run);
    assertEquals(1, off.speed(fleet.getFirst()));
    assertEquals(1, off.runTimes.expectedRatio(run.step()));
  }
}
