package org.fescuehook.logic.batch.plan;

import static java.util.stream.Collectors.toSet;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fescuehook.logic.batch.advice.StepAdvice;
import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.executor.OrderBaseline;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.LiveRun;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;
import org.fescuehook.logic.batch.statistics.SchedulingStatistics;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.model.batch.BatchJob;
import org.fescuehook.model.batch.BatchStep;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.ResourceVector;
import org.fescuehook.model.batch.Submission;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Incarnation;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.preferences.SchedulingPreferences;
import org.fescuehook.model.preferences.WorkPreferences;

/**
 * Guards against plans that change because of the caches and running sums of the planner. {@link
 * ReferencePlanner} evaluates every executor for each step and must give the same plans.
 */
class PlannerEquivalenceProperties {

  private static final long NOW = Duration.ofHours(1).toNanos();
  private static final WorkPreferences WORK =
      new WorkPreferences(
          Duration.ofSeconds(2),
          Duration.ofMillis(600),
          Duration.ofMillis(200),
          Duration.ofSeconds(3),
          Duration.ofMillis(2700));
  private static final int[] ACCELERATORS = {0, 1, 1, 2, 4, 8};

  /** A random fleet with running and waiting work. */
  private static final class Scenario {
    private final Random random;
    private final List<ExecutorState> executors = new ArrayList<>();
    private final Map<StepProgress, Rank> ranks = new HashMap<>();
    private final List<WaitingStep> waiting = new ArrayList<>();
    private int jobs;

    Scenario(long seed) {
      random = new Random(seed);
      int size = 1 + random.nextInt(24);
      for (int i = 0; i < size; i++) {
        executors.add(executor(i));
      }
      int running = random.nextInt(3 * size);
      for (int i = 0; i < running; i++) {
        run();
      }
      int steps = 1 + random.nextInt(12);
      for (int i = 0; i < steps; i++) {
        waiting.add(waitingStep());
      }
    }

    private ExecutorState executor(int number) {
      String rack = "r" + number / 4;
      ExecutorState executor =
          new ExecutorState(
              new ExecutorProfile(
                  Incarnation.ofUnknownStart(new ExecutorId("e" + number)),
                  InetSocketAddress.createUnresolved("e", 1),
                  random.nextInt(6) == 0 ? "other" : "pool",
                  new FailureDomain("a"),
                  new RackId(rack),
                  Set.of(random.nextBoolean() ? "k" : "l", rack),
                  new ResourceVector(64_000, 262_144, 8),
                  false,
                  0),
              new OrderBaseline(0, 0));
      if (random.nextInt(8) == 0) {
        executor.failed();
      }
      return executor;
    }

    private StepProgress step(boolean urgent) {
      boolean gang = random.nextBoolean();
      int count = 1 + random.nextInt(gang ? 4 : 9);
      boolean lasting = !gang && random.nextInt(8) == 0;
      BatchStep.PlacementRule placement =
          new BatchStep.PlacementRule(
              gang && random.nextInt(3) == 0,
              random.nextInt(5) == 0 ? Optional.of("k") : Optional.empty(),
              random.nextInt(5) == 0
                  ? Optional.of(new RackId("r" + random.nextInt(3)))
                  : Optional.empty(),
              random.nextInt(5) == 0 ? 2 : 0);
      BatchStep spec =
          new BatchStep(
              count,
              new ResourceVector(
                  random.nextInt(24_000),
                  random.nextInt(80_000),
                  ACCELERATORS[random.nextInt(ACCELERATORS.length)]),
              100 + random.nextInt(9000),
              List.of(),
              placement,
              random.nextBoolean(),
              gang,
              "image",
              lasting
                  ? Optional.of(new BatchStep.LongRunning(1, random.nextBoolean() ? 50 : 0))
                  : Optional.empty());
      jobs++;
      int priority = urgent ? 0 : 1 + random.nextInt(2);
      JobQueue queue = new JobQueue("q" + priority, "pool", priority, 4, 3, 1000, false, false);
      Submission submission = new Submission("spec", List.of(spec), Optional.empty());
      ActiveJob job =
          new ActiveJob(new BatchJob("%016x".formatted(jobs), queue, "o", 0, submission));
      StepProgress step = job.steps().getFirst();
      boolean guaranteed = urgent && random.nextBoolean();
      ranks.put(step, guaranteed ? Rank.GUARANTEED : Rank.ofPriority(priority));
      return step;
    }

    /** Places the tasks of a step on random executors, as far as their free capacity suffices. */
    private void run() {
      StepProgress step = step(random.nextInt(4) == 0);
      for (TaskProgress task : step.tasks()) {
        ExecutorState executor = executors.get(random.nextInt(executors.size()));
        if (executor.free().contains(step.spec().demand())) {
          TaskRun name = new TaskRun(step.name(task), 1);
          long since = NOW - random.nextInt(8000) * 1_000_000L;
          LiveRun run =
              LiveRun.placed(name, executor.incarnation(), step, "", Optional.empty(), since);
          run.enter(random.nextInt(5) == 0 ? LiveRun.Stage.STOPPING : LiveRun.Stage.RUNNING, since);
          step.begin(task, run);
          executor.add(run);
        }
      }
    }

    private static Incarnation incarnation(String executor) {
      return Incarnation.ofUnknownStart(new ExecutorId(executor));
    }

    private WaitingStep waitingStep() {
      StepProgress step = step(random.nextInt(3) == 0);
      for (int failures = random.nextInt(6) == 0 ? 1 + random.nextInt(3) : 0;
          failures > 0;
          failures--) {
        Incarnation failed = executors.get(random.nextInt(executors.size())).incarnation();
        step.fail(step.tasks().getFirst(), 1, failed, NOW - random.nextInt(12_000) * 1_000_000L);
      }
      long second = Duration.ofSeconds(1).toNanos();
      StepTiming timing =
          new StepTiming(
              random.nextInt(20) * second / 2,
              random.nextInt(30) * second,
              random.nextInt(9) * second,
              random.nextInt(9) * second);
      // The reference planner knows no tickets that can still be requested.
      Optional<StepAdvice> advice =
          random.nextInt(8) == 0
              ? Optional.of(adviceOnAll(Set.of(incarnation("e0"), incarnation("e3"))))
              : Optional.empty();
      return new WaitingStep(
          step, step.waiting(), "pool", ranks.get(step), random.nextInt(9), timing, advice);
    }

    private StepAdvice adviceOnAll(Set<Incarnation> permitted) {
      Set<Incarnation> forbidden =
          executors.stream().map(ExecutorState::incarnation).collect(toSet());
      forbidden.removeAll(permitted);
      return new StepAdvice.Ticketed(permitted, forbidden);
    }
  }

  @Property(tries = 3000)
  void planEqualsThatOfTheReferencePlanner(@ForAll long seed) {
    assertSamePlan(seed);
  }

  /**
   * Five of nine tasks fill an idle fleet. The other four may not preempt anything away from their
   * data, and five tasks of the next step start in the capacity that is left.
   */
  @Example
  void planEqualsThatOfTheReferencePlannerWhenAStepFillsAnIdleFleet() {
    assertSamePlan(1_086_075_471L);
  }

  /** Several groups of tasks of one step are planned together. */
  @Property(tries = 3000)
  void planOfDividedStepsEqualsThatOfTheReferencePlanner(@ForAll long seed) {
    Scenario scenario = new Scenario(seed);
    assertSamePlan(scenario, DividedSteps.divide(scenario.waiting, new Random(seed)));
  }

  /** A pool is planned as if the others did not exist. */
  @Property(tries = 3000)
  void planOfSeveralPoolsEqualsThatOfTheReferencePlanner(@ForAll long seed) {
    Scenario scenario = new Scenario(seed);
    assertSamePlan(scenario, inSeveralPools(scenario.waiting, new Random(seed)));
  }

  private static List<WaitingStep> inSeveralPools(List<WaitingStep> waiting, Random random) {
    return waiting.stream()
        .map(step -> random.nextInt(3) == 0 ? inPool(step, "other") : step)
        .toList();
  }

  private static WaitingStep inPool(WaitingStep step, String pool) {
    return new WaitingStep(
        step.step(),
        step.tasks(),
        pool,
        step.rank(),
        step.acceptedMillis(),
        step.timing(),
        step.advice());
  }

  /** Tasks suspected of crashing executors are planned one by one, beside the others. */
  @Property(tries = 3000)
  void noPlanBreaksAPlacementRule(@ForAll long seed) throws UnreadableRecordException {
    Scenario scenario = new Scenario(seed);
    List<WaitingStep> waiting = DividedSteps.suspect(scenario.waiting, new Random(seed));
    Planner.Plan plan =
        new Planner(scenario.ranks::get, WORK).plan(waiting, scenario.executors, NOW);
    PlacementRuleAudit.check(plan.starts(), waiting);
  }

  /** Steps that reservations limit are placed by other views of the capacity. */
  @Property(tries = 3000)
  void noPlanWithFairSharesAndReservationsBreaksAPlacementRule(@ForAll long seed)
      throws UnreadableRecordException {
    Scenario scenario = new Scenario(seed);
    List<WaitingStep> waiting = DividedSteps.suspect(scenario.waiting, new Random(seed));
    SchedulingStatistics statistics =
        SchedulingStatistics.create(
            new SchedulingPreferences(false, false, false, true, true, false, false));
    Planner planner = new Planner(scenario.ranks::get, WORK, statistics);
    for (long now = NOW; now < NOW + Duration.ofSeconds(8).toNanos(); now += 2_000_000_000L) {
      statistics.usage().observe(scenario.executors, List.of(), now);
      PlacementRuleAudit.check(planner.plan(waiting, scenario.executors, now).starts(), waiting);
    }
  }

  private static void assertSamePlan(long seed) {
    Scenario scenario = new Scenario(seed);
    assertSamePlan(scenario, scenario.waiting);
  }

  private static void assertSamePlan(Scenario scenario, List<WaitingStep> waiting) {
    Function<StepProgress, Rank> ranks = scenario.ranks::get;
    ReferencePlanner.Plan expected =
        new ReferencePlanner(ranks, WORK).plan(waiting, scenario.executors, NOW);
    Planner.Plan plan = new Planner(ranks, WORK).plan(waiting, scenario.executors, NOW);
    assertEquals(expected.starts(), plan.starts());
    assertEquals(
        expected.stops().stream().map(ReferencePlanner.Preemption::run).toList(),
        plan.stops().stream().map(Planner.Preemption::run).toList());
  }
}
