package org.fescuehook.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.fescuehook.standins.platform.TaskExecutor.StartConditions;
import org.junit.jupiter.api.Test;

class TaskExecutorTest {

  private static final long BORN = 1_786_115_069_591L;
  private static final String TASK = "00000000000000aa.0.0.0";
  private static final String OTHER = "00000000000000aa.0.0.1";
  private static final TaskExecutor.Outcome DONE = new TaskExecutor.Outcome.Done();
  private static final StartConditions LATE = new StartConditions(true, false);

  private final List<RunEvent> journal = new ArrayList<>();
  private final TaskExecutor executor =
      new TaskExecutor("x1-1", BORN, 1, 1, 0, journal::add, new Gangs());

  private static ObjectNode order(long token) {
    return JsonNodeFactory.instance.objectNode().put("fencingToken", token);
  }

  private static ObjectNode run(String task, int run, long token) {
    return order(token).put("taskId", task).put("runId", run);
  }

  private TaskExecutor.Outcome start(String task, int run, long token, long now) {
    ObjectNode order =
        run(task, run, token).put("spec", "run:500 job").put("expiresMs", now + 3000);
    return executor.start(order, now, StartConditions.NORMAL);
  }

  private TaskExecutor.Outcome start(String task, String spec, StartConditions conditions) {
    ObjectNode order = run(task, 1, 1).put("spec", spec).put("expiresMs", 4000);
    return executor.start(order, 1000, conditions);
  }

  private static TaskExecutor.Outcome rejected(String reason) {
    return new TaskExecutor.Outcome.Rejected(reason);
  }

  private List<String> events() {
    return journal.stream().map(e -> e.kind() + " " + e.run() + " " + e.detail()).toList();
  }

  @Test
  void anEndedRunIsReportedUntilItsEndIsAcknowledged() {
    assertEquals(DONE, start(TASK, 1, 1, 1000));
    executor.advance(1500);
    assertEquals(
        List.of(List.of(1L, TASK, 1, "done", "")), executor.pollResponse(1500).get("finished"));

    executor.hold(order(1).put("ackedUpTo", 1), 1600);

    assertEquals(List.of(), executor.pollResponse(1600).get("finished"));
    assertEquals(List.of("STARTED 1 run:500 job", "ENDED 1 done", "ACKNOWLEDGED 1 done"), events());
  }

  @Test
  void aRepeatedStartOfAnActiveRunStartsNothing() {
    start(TASK, 1, 1, 1000);

    assertEquals(DONE, start(TASK, 1, 1, 1010));
    assertEquals(1, journal.size());
  }

  @Test
  void anOrderWithALowerFencingTokenIsRejected() {
    executor.hold(order(5), 1000);

    assertEquals(rejected("fence"), start(TASK, 1, 4, 1000));
  }

  @Test
  void aRunThatStartsOnAFailingExecutorFails() {
    start(TASK, "run:500 job", new StartConditions(false, true));
    executor.advance(1200);

    assertEquals(List.of("STARTED 1 run:500 job", "ENDED 1 failed"), events());
  }

  @Test
  void aSlotIsSharedByAsManyTasksAsTheSpecificationSays() {
    assertEquals(DONE, start(TASK, "run:500/2 job", StartConditions.NORMAL));
    assertEquals(DONE, start(OTHER, "run:500/2 job", StartConditions.NORMAL));
    assertEquals(rejected("room"), start("c.0.0.0", "run:500/2 job", StartConditions.NORMAL));

    executor.advance(1500);
    assertEquals(DONE, start("c.0.0.0", "run:500 job", StartConditions.NORMAL));
  }

  @Test
  void aStartWithoutAFreeSlotIsRejected() {
    start(TASK, 1, 1, 1000);

    assertEquals(rejected("room"), start(OTHER, 1, 1, 1000));
  }

  @Test
  void anExpiredLeaseEndsAllActiveRuns() {
    ObjectNode order = run(TASK, 1, 1).put("spec", "run:500 job").put("expiresMs", 1200);
    executor.start(order, 1000, StartConditions.NORMAL);

    executor.advance(1250);

    assertEquals(List.of("STARTED 1 run:500 job", "LAPSED 0 ", "ENDED 1 lapsed"), events());
  }

  @Test
  void aLeaseIsLimitedToTheMaximumDuration() {
    ObjectNode order = run(TASK, 1, 1).put("spec", "run:90000 job").put("expiresMs", 90_000);
    executor.start(order, 1000, StartConditions.NORMAL);

    executor.advance(7001);

    assertEquals("ENDED 1 lapsed", events().getLast());
  }

  @Test
  void aStopTakesEffectAfterADelayAndRejectsRunsUpToItsNumber() {
    start(TASK, 1, 1, 1000);
    executor.stop(run(TASK, 2, 1), 1100);
    executor.advance(1300);

    assertEquals("ENDED 1 stopped", events().getLast());
    assertEquals(rejected("old"), start(TASK, 2, 1, 1400));
    assertEquals(DONE, start(TASK, 3, 1, 1400));
  }

  /** Guards against an end that counts as taken note of in time, seconds after the lease. */
  @Test
  void aLeaseThatExpiresBeforeAnEndIsAcknowledgedIsRecordedOnce() {
    start(TASK, 1, 1, 1000);
    executor.advance(1500);
    executor.advance(4000);
    executor.advance(4010);
    executor.hold(order(1).put("ackedUpTo", 1), 9000);

    assertEquals(
        List.of("STARTED 1 run:500 job", "ENDED 1 done", "LAPSED 0 ", "ACKNOWLEDGED 1 done"),
        events());
  }

  @Test
  void anEndThatIsAcknowledgedWithinTheLeaseRecordsNoExpiry() {
    start(TASK, 1, 1, 1000);
    executor.advance(1500);
    executor.hold(order(1).put("ackedUpTo", 1), 3900);
    executor.advance(9000);

    assertEquals(List.of("STARTED 1 run:500 job", "ENDED 1 done", "ACKNOWLEDGED 1 done"), events());
  }

  @Test
  void aStartWithAnExpiredLeaseIsRejected() {
    ObjectNode order = run(TASK, 1, 1).put("spec", "run:500 job").put("expiresMs", 900);

    assertEquals(rejected("late"), executor.start(order, 1000, StartConditions.NORMAL));
  }

  @Test
  void aDelayedStartIsRecordedOnce() {
    ObjectNode order = run(TASK, 1, 1).put("spec", "run:500 job").put("expiresMs", 4000);

    assertEquals(DONE, executor.start(order, 1000, LATE));
    assertEquals(DONE, executor.start(order, 1100, LATE));

    assertEquals(List.of("STARTED 1 run:500 job", "STARTED_LATE 1 "), events());
  }

  @Test
  void aDelayedStartOfAStoppedRunIsRejected() {
    executor.stop(run(TASK, 1, 1), 1000);
    ObjectNode order = run(TASK, 1, 1).put("spec", "run:500 job").put("expiresMs", 4000);

    assertEquals(rejected("old"), executor.start(order, 1100, LATE));
    assertEquals(List.of(), events());
  }

  @Test
  void aCrashSpecificationCrashesTheExecutorWhenItIsDue() {
    ObjectNode order = run(TASK, 1, 1).put("spec", "crash:20 job").put("expiresMs", 4000);
    executor.start(order, 1000, StartConditions.NORMAL);
    executor.advance(1019);
    assertEquals(false, executor.crashed());

    executor.advance(1020);
    executor.crash(1020);

    assertEquals(true, executor.crashed());
    assertEquals(List.of("STARTED 1 crash:20 job", "CRASHED 1 "), events());
  }

  private TaskExecutor.Outcome startWith(Ticket ticket, long now) {
    ObjectNode order =
        run(TASK, 1, 1)
            .put("spec", "run:500 advised job")
            .put("expiresMs", now + 3000)
            .put("ticket", ticket.text());
    return executor.start(order, now, StartConditions.NORMAL);
  }

  @Test
  void aStartThatNeedsAdviceIsRejectedWithoutAValidTicket() {
    String step = "00000000000000aa.0.0";

    assertEquals(rejected("ticket"), start(TASK, "run:500 advised job", StartConditions.NORMAL));
    assertEquals(rejected("ticket"), startWith(new Ticket(step, "x2-1", BORN, 9000), 1000));
    assertEquals(rejected("ticket"), startWith(new Ticket(step, "x1-1", BORN - 1, 9000), 1000));
    assertEquals(rejected("ticket"), startWith(new Ticket("a.0.1", "x1-1", BORN, 9000), 1000));
    assertEquals(rejected("ticket"), startWith(new Ticket(step, "x1-1", BORN, 1000), 1000));
    assertEquals(DONE, startWith(new Ticket(step, "x1-1", BORN, 9000), 1000));
  }
}
