package org.fescuehook.logic.story;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class LateJobReportTest {

  private static LoggedEvent event(long millis, int number, String message) {
    return new LoggedEvent(millis, "vm-1", number, message);
  }

  private static LoggedEvent accepted(long millis, String job, int work, int objective) {
    String text =
        "Job %s accepted: queue q organisation o tasks 1 work %d core-s chain 500 ms objective %d ms";
    return event(millis, 8010, text.formatted(job, work, objective));
  }

  private static final List<LoggedEvent> LOG =
      List.of(
          accepted(1000, "aa", 10, 5000),
          accepted(1000, "bb", 30, 2000),
          accepted(2000, "cc", 20, 1000),
          accepted(2000, "dd", 5, 1000),
          event(4000, 8020, "Run bb.0.0.0#1 placed on e1 in rack r1: guaranteed"),
          event(4010, 8021, "Run bb.0.0.0#1 started on e1 after 10 ms"),
          event(5000, 8013, "Job bb ended COMPLETED after 4000 ms"),
          event(5000, 8013, "Job aa ended COMPLETED after 4000 ms"),
          event(6000, 8020, "Run cc.0.0.0#1 placed on e1 in rack r1: guaranteed"),
          event(2010, 8020, "Run dd.0.0.0#1 placed on e1 in rack r1: guaranteed"),
          event(7000, 8024, "Run dd.0.0.0#1 on e1 lost: silent until its lease had expired"),
          event(9000, 8013, "Job dd ended COMPLETED after 7000 ms"));

  @Test
  void jobsThatExceedTheirObjectiveAreListedInDescendingOrderOfWork() {
    LateJobReport report = LateJobReport.of(LOG);

    assertEquals(4, report.jobs());
    assertEquals(
        List.of("bb", "cc", "dd"), report.late().stream().map(LateJobReport.LateJob::id).toList());
    assertEquals(2000, report.late().getFirst().lateMillis());
  }

  @Test
  void aJobWithoutAnEndIsLateUntilTheEndOfTheLog() {
    LateJobReport.LateJob job = LateJobReport.of(LOG).late().get(1);

    assertEquals(6000, job.lateMillis());
    assertEquals(false, job.ended());
  }

  @Test
  void lostTimeByCauseAddsUpToTheDelayOfAllLateJobs() {
    LateJobReport report = LateJobReport.of(LOG);

    long all = report.late().stream().mapToLong(LateJobReport.LateJob::lateMillis).sum();
    assertEquals(all, report.losses().stream().mapToLong(LateJobReport.LostTime::lateMillis).sum());
    assertEquals(
        new LateJobReport.LostTime("q", "waited for room", 2, 8000), report.losses().getFirst());
  }
}
