package org.fescuehook.bench.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fescuehook.bench.soak.judge.PlannedJob;
import org.junit.jupiter.api.Test;

class JobMixTest {

  private static List<JobMix.Draw> draws(long seed) {
    return draws(seed, SoakSizes.Plan.MIXED);
  }

  private static List<JobMix.Draw> draws(long seed, SoakSizes.Plan plan) {
    return draws(seed, plan, 6);
  }

  private static List<JobMix.Draw> draws(long seed, SoakSizes.Plan plan, int executors) {
    return Stream.generate(new JobMix(seed, plan, executors)::next).limit(500).toList();
  }

  private static long millis(JobMix.Draw draw) {
    return Long.parseLong(draw.job().spec().split("[:/ ]")[1]);
  }

  @Test
  void someJobsHaveMoreSmallTasksThanAnExecutorListsEnds() {
    List<PlannedJob> wide =
        draws(7).stream().map(JobMix.Draw::job).filter(job -> job.tasksPerSlot() > 1).toList();

    assertTrue(wide.size() > 3, wide.size() + " of 500");
    assertTrue(wide.stream().allMatch(job -> job.tasks().size() > 500));
  }

  @Test
  void theSameSeedGivesTheSameJobs() {
    assertEquals(draws(7), draws(7));
  }

  @Test
  void eachKindOfCancellingIsDrawn() {
    Set<Class<?>> kinds =
        draws(7).stream().map(draw -> draw.cancelling().getClass()).collect(Collectors.toSet());

    assertEquals(Set.of(JobMix.Cancelling.class.getPermittedSubclasses()), kinds);
  }

  @Test
  void jobsWhoseCallerGivesUpOutlastTheStretchInWhichTheirRunsHaveToEnd() {
    assertTrue(
        draws(7).stream()
            .filter(draw -> draw.cancelling() instanceof JobMix.Cancelling.GivenUp)
            .allMatch(draw -> millis(draw) > 3000 + 3200));
  }

  @Test
  void onlyWavesOfCancelsHaveNoTasksThatCrashExecutors() {
    assertTrue(draws(7).stream().anyMatch(JobMixTest::crashes));
    assertTrue(draws(7, SoakSizes.Plan.CANCELS).stream().noneMatch(JobMixTest::crashes));
  }

  private static boolean crashes(JobMix.Draw draw) {
    return draw.job().spec().startsWith(PlannedJob.CRASHES);
  }

  @Test
  void eachKindOfPlacementRuleIsDrawn() {
    List<PlannedJob.Placement> placements =
        draws(7).stream()
            .map(draw -> draw.job().steps().getFirst())
            .filter(step -> step.count() > step.placement().maxPerExecutor())
            .map(PlannedJob.Step::placement)
            .toList();

    for (int limit = 0; limit <= 2; limit++) {
      int wanted = limit;
      assertTrue(placements.stream().anyMatch(rule -> rule.maxPerExecutor() == wanted));
    }
    assertTrue(placements.stream().anyMatch(rule -> rule.label().isPresent()));
  }

  @Test
  void someLongJobsNeedARack() {
    long bound =
        draws(7).stream()
            .filter(draw -> millis(draw) >= 7000)
            .filter(
                draw ->
                    draw.job().steps().getFirst().placement().label().orElse("").startsWith("rack"))
            .count();

    assertTrue(bound > 5, bound + " of 500");
  }

  @Test
  void someRunsHaveJobsThatNeedAdvice() {
    long runs = 0;
    for (long seed = 0; seed < 20; seed++) {
      List<PlannedJob> advised =
          draws(seed).stream()
              .map(JobMix.Draw::job)
              .filter(job -> job.queue() == PlannedJob.Queue.ADVISED)
              .toList();
      runs += advised.isEmpty() ? 0 : 1;
      assertTrue(advised.stream().allMatch(job -> job.spec().contains(" advised ")));
    }

    assertTrue(runs > 3 && runs < 17, runs + " of 20");
  }

  @Test
  void someRunsHaveGangs() {
    long runs = 0;
    for (long seed = 0; seed < 20; seed++) {
      List<PlannedJob> gangs =
          draws(seed).stream().map(JobMix.Draw::job).filter(PlannedJob::gang).toList();
      runs += gangs.isEmpty() ? 0 : 1;
      for (PlannedJob job : gangs) {
        int members = job.steps().getFirst().count();
        assertEquals(1, job.steps().size());
        assertTrue(job.spec().contains(" gang:" + members + " "));
      }
    }

    assertTrue(runs > 3 && runs < 17, runs + " of 20");
  }

  /** Guards against mixed runs in which no gang comes to its last attempt after one failure. */
  @Test
  void aPartOfTheGangsMayFailTwiceOnly() {
    long gangs = 0;
    long twice = 0;
    for (long seed = 0; seed < 20; seed++) {
      for (JobMix.Draw draw : draws(seed)) {
        PlannedJob.Queue queue = draw.job().queue();
        gangs += draw.job().gang() ? 1 : 0;
        twice += queue == PlannedJob.Queue.TWO_ATTEMPTS_PLAIN ? 1 : 0;
        assertTrue(draw.job().gang() || queue != PlannedJob.Queue.TWO_ATTEMPTS_PLAIN);
      }
    }

    assertTrue(twice > gangs / 4 && twice < gangs * 3 / 5, twice + " of " + gangs);
  }

  @Test
  void gangsAreWideWhereThereAreExecutorsForThem() {
    long widest = 0;
    for (long seed = 0; seed < 20; seed++) {
      widest =
          draws(seed, SoakSizes.Plan.MIXED, 32).stream()
              .map(JobMix.Draw::job)
              .filter(PlannedJob::gang)
              .mapToLong(job -> job.tasks().size())
              .reduce(widest, Math::max);
    }

    assertTrue(widest > 24 && widest <= 32, "widest gang: " + widest);
  }

  @Test
  void mostJobsAreShort() {
    assertTrue(draws(7).stream().filter(draw -> millis(draw) < 1000).count() > 400);
  }
}
