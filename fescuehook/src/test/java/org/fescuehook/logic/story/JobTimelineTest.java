package org.fescuehook.logic.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class JobTimelineTest {

  private static final String JOB = "613a0aabc6d4ee61";
  private static final String RUN = JOB + ".0.0.0#1";

  private static LoggedEvent event(long millis, int number, String message) {
    return new LoggedEvent(millis, "vm-1", number, message);
  }

  private static final List<LoggedEvent> LOG =
      List.of(
          event(5000, 8031, "Executor e2 silent: timeout, 1 runs there, leases end in 5000 ms"),
          event(3000, 8034, "Executor e9 rests for 2000 ms: a run failed there"),
          event(1000, 8010, "Job " + JOB + " accepted: queue q organisation o tasks 1"),
          event(3500, 8020, "Run " + RUN + " placed on e2 in rack r1: guaranteed, waited 2500 ms"),
          event(3510, 8021, "Run " + RUN + " started on e2 after 10 ms"),
          event(9600, 8024, "Run " + RUN + " on e2 lost: silent until its lease had expired"),
          event(6000, 8001, "Ownership won at epoch 7"),
          event(20_000, 8031, "Executor e2 silent: timeout, 0 runs there"));

  @Test
  void timelineHoldsTheEventsOfTheJobItsExecutorsAndTheOwnerDuringTheJob() {
    List<Integer> numbers =
        JobTimeline.of(JOB, LOG).events().stream().map(LoggedEvent::number).toList();
    assertEquals(List.of(8010, 8020, 8021, 8031, 8001, 8024), numbers);
  }

  @Test
  void theLongestStageIsNamed() {
    JobTimeline.Stage longest = JobTimeline.of(JOB, LOG).longestStage().orElseThrow();
    assertEquals(6090, longest.millis());
    assertTrue(longest.name().contains("lease"), longest.name());
  }

  /** Guards against a job whose delay by a maintenance wave has no cause in its timeline. */
  @Test
  void aStopForMaintenanceIsNamedAndExplained() {
    List<LoggedEvent> log =
        List.of(
            event(1000, 8020, "Run " + RUN + " placed on e2 in rack r1: guaranteed"),
            event(2000, 8072, "Machine m2 of wave 7 closed: e2 has 1 runs, idle in 1000 ms"),
            event(
                2000, 8022, "Run " + RUN + " on e2 is stopped: maintenance of machine m2, wave 7"),
            event(2900, 8023, "Run " + RUN + " on e2 ended STOPPED at 40 percent after 1900 ms"));
    JobTimeline timeline = JobTimeline.of(JOB, log);
    assertTrue(timeline.events().stream().anyMatch(event -> event.number() == 8072));
    assertEquals(
        "runs were stopped for the maintenance of their machine",
        timeline.stages().getLast().name());
  }

  /** Guards against time lost by refusals for load that is shown as a fault of the store. */
  @Test
  void timeLostByARefusalForLoadIsNamed() {
    List<LoggedEvent> log =
        List.of(
            event(
                1000, 8065, "Job " + JOB + " of organisation o would start too late: in 24000 ms"),
            event(1000, 8011, "Job " + JOB + " refused: BACKLOG, come back after 5000 ms"),
            event(6000, 8066, "Job " + JOB + " of organisation o admitted after 1 refusals"),
            event(6010, 8010, "Job " + JOB + " accepted: queue q organisation o tasks 1"));
    JobTimeline.Stage longest = JobTimeline.of(JOB, log).longestStage().orElseThrow();
    assertEquals(5000, longest.millis());
    assertEquals("refused for load, until the caller came back", longest.name());
  }

  @Test
  void aJobThatNoEventNamesHasAnEmptyTimeline() {
    assertTrue(JobTimeline.of("0000000000000000", LOG).events().isEmpty());
  }

  @Test
  void aLineIsParsedAfterThePrefixOfALogCollector() {
    String line =
        "  18.2418 edge-3 {\"timestamp\":1796247072211,\"level\":\"INFO\","
            + "\"kvpList\": [{\"event\":\"8011\"}],\"formattedMessage\":\"Job a refused\"}";
    assertEquals(
        Optional.of(new LoggedEvent(1_796_247_072_211L, "edge-3", 8011, "Job a refused")),
        new LoggedEventParser().parse(line));
  }

  @Test
  void linesWithoutANumberedEventAreIgnored() {
    LoggedEventParser parser = new LoggedEventParser();
    assertEquals(Optional.empty(), parser.parse(""));
    assertEquals(Optional.empty(), parser.parse("{\"timestamp\":1"));
    assertEquals(Optional.empty(), parser.parse("{\"formattedMessage\":\"of a library\"}"));
  }
}
