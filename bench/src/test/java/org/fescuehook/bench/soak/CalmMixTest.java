package org.fescuehook.bench.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.fescuehook.bench.soak.judge.PlannedJob;
import org.junit.jupiter.api.Test;

class CalmMixTest {

  private static final int COUNT = 1000;

  private static List<PlannedJob> draws(SoakSizes sizes) {
    return Stream.generate(new CalmMix(sizes)::next).limit(COUNT).map(JobMix.Draw::job).toList();
  }

  private static SoakSizes sizes(long seed, int executors) {
    Duration minute = Duration.ofSeconds(60);
    return new SoakSizes(seed, minute, 9, executors, SoakSizes.Plan.CALM_AFTER_OWNERS);
  }

  /** Guards against runs in which no job comes to its last attempt. */
  @Test
  void someJobsAlwaysFailAndTheOthersNowAndThen() {
    for (long seed = 0; seed < 20; seed++) {
      List<PlannedJob> jobs = draws(sizes(seed, 32));
      long always = jobs.stream().filter(job -> job.spec().contains(" fails:1000 ")).count();

      assertTrue(always > 15 && always < 110, always + " of " + COUNT + ", seed " + seed);
      assertEquals(
          COUNT - always, jobs.stream().filter(job -> job.spec().contains(" fails:50 ")).count());
    }
  }

  @Test
  void gangsOfWholeExecutorsAndLoneTasksAreDrawn() {
    List<PlannedJob> jobs = draws(sizes(7, 32));
    long lone = jobs.stream().filter(job -> job.tasks().size() == 1).count();
    List<PlannedJob> gangs = jobs.stream().filter(PlannedJob::gang).toList();

    assertTrue(lone > COUNT / 3, lone + " of " + COUNT);
    assertTrue(gangs.size() > COUNT / 8, gangs.size() + " of " + COUNT);
    assertTrue(gangs.stream().allMatch(job -> job.slotsPerTask() == 4));
    assertTrue(
        gangs.stream().allMatch(job -> job.spec().contains(" gang:" + job.tasks().size() + " ")));
  }

  /** Guards against a load beside which jobs may stand still. */
  @Test
  void theLoadIsWellUnderHalfOfTheService() {
    for (int executors : List.of(9, 32, 64, 200)) {
      for (long seed = 0; seed < 20; seed++) {
        SoakSizes sizes = sizes(seed, executors);
        double work =
            draws(sizes).stream()
                .mapToDouble(job -> job.millis() * job.slotsPerTask() * job.tasks().size())
                .sum();
        double slots = work / (COUNT * (double) sizes.jobIntervalMillis());

        assertTrue(slots < 0.4 * 4 * executors, slots + " slots of " + 4 * executors);
      }
    }
  }
}
