package org.fescuehook.logic.batch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.plan.Rank;
import org.junit.jupiter.api.Test;

class RefusedJobsTest {

  private static final JobDemand DEMAND =
      new JobDemand("pool", Optional.empty(), Rank.ofPriority(1), "north", 2);
  private static final JobDemand URGENT =
      new JobDemand("pool", Optional.empty(), Rank.ofPriority(0), "north", 2);

  private static final long USEFUL = seconds(100);

  private final RefusedJobs jobs = new RefusedJobs();

  private static long seconds(long seconds) {
    return TimeUnit.SECONDS.toNanos(seconds);
  }

  private Optional<String> refuse(String id, String organisation, long at, long returnAt) {
    return jobs.refused(
        id, organisation, Optional.of(DEMAND), seconds(at), seconds(returnAt), USEFUL);
  }

  @Test
  void countsRefusalsAndKeepsTheTimeOfTheFirst() {
    refuse("a", "north", 1, 3);
    refuse("a", "north", 4, 6);
    RefusedJobs.RefusedJob known = jobs.find("a").orElseThrow();
    assertEquals(2, known.refusals());
    assertEquals(seconds(1), known.firstAt());
  }

  @Test
  void onlyWorkThatHasBeenRefusedForLongerGoesBefore() {
    refuse("a", "north", 1, 10);
    refuse("b", "north", 2, 10);
    assertEquals(0, jobs.workBefore("a", DEMAND, seconds(1), seconds(5)).all());
    assertEquals(2, jobs.workBefore("b", DEMAND, seconds(2), seconds(5)).all());
    assertEquals(4, jobs.workBefore("new", DEMAND, seconds(5), seconds(5)).all());
    assertEquals(0, jobs.workBefore("new", URGENT, seconds(5), seconds(5)).all());
  }

  /** Guards against capacity that is held for callers who never return. */
  @Test
  void nothingIsHeldForACallerThatDoesNotReturn() {
    refuse("a", "north", 1, 10);
    assertEquals(2, jobs.workBefore("new", DEMAND, seconds(12), seconds(12)).all());
    assertEquals(0, jobs.workBefore("new", DEMAND, seconds(13), seconds(13)).all());
    jobs.expire(seconds(21));
    assertEquals(0, jobs.size());
  }

  @Test
  void nothingIsHeldForAJobThatWasAdmittedButItsRefusalsStillCount() {
    refuse("a", "north", 1, 10);
    assertEquals(1, jobs.admitted("a", seconds(9)).orElseThrow().refusals());
    assertEquals(0, jobs.workBefore("new", DEMAND, seconds(9), seconds(9)).all());
    refuse("a", "north", 10, 12);
    assertEquals(2, jobs.refusals("a"));
  }

  /** Guards against an organisation that displaces the refused jobs of the others. */
  @Test
  void theSizeIsBoundedAtTheCostOfTheLargestOrganisation() {
    refuse("a", "small", 1, 10);
    Optional<String> evicted = Optional.empty();
    for (int i = 0; i < 3 * RefusedJobs.MAX_JOBS; i++) {
      evicted = refuse("job-" + i, "large", 2, 10);
    }
    assertEquals(Optional.of("large"), evicted);
    assertEquals(RefusedJobs.MAX_JOBS, jobs.size());
    assertTrue(jobs.find("a").isPresent());
  }

  /** Guards against capacity that is held for callers who cannot use it any more. */
  @Test
  void nothingIsHeldAfterTheLastTryNorAfterTheUsefulTime() {
    for (int i = 0; i < OutageRetries.CALLER_TRIES; i++) {
      refuse("a", "north", 1, 10);
    }
    refuse("b", "north", 1, 102);
    assertEquals(2, jobs.workBefore("new", DEMAND, seconds(5), seconds(5)).all());
    assertEquals(0, jobs.workBefore("new", DEMAND, seconds(101), seconds(101)).all());
  }

  /** Guards against new callers who are refused for one that returns much later. */
  @Test
  void onlyWorkWhoseCallerReturnsSoonIsDue() {
    refuse("a", "north", 1, 10);
    assertEquals(0, jobs.workBefore("new", DEMAND, seconds(7), seconds(7)).due());
    assertEquals(2, jobs.workBefore("new", DEMAND, seconds(8), seconds(8)).due());
  }
}
