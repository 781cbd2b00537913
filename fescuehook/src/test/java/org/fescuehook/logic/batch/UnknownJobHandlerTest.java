package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.state.JobScope;
import org.fescuehook.model.batch.JobPhase;
import org.junit.jupiter.api.Test;

/**
 * Guards against status calls for unknown jobs that are refused again and again while the store is
 * slow, so that their callers never get "no such job". Such an answer waits for a heartbeat that
 * was sent after the call and is confirmed; with 0.88 s per answer of the store that takes 1.8 s,
 * so a limit of 0.8 s is too short.
 */
class UnknownJobHandlerTest {

  private final UnknownJobHandler handler = new UnknownJobHandler();
  private final Map<String, Optional<JobPhase>> accepted =
      new HashMap<>(Map.of("a1", Optional.empty(), "a2", Optional.empty()));

  private static BatchContext at(long millis) {
    return new BatchContext(nanos(millis), 0);
  }

  private static long nanos(long millis) {
    return Duration.ofMillis(millis).toNanos();
  }

  private void ask(long ticket, String job, long nowMillis, long patienceMillis) {
    long until = nanos(nowMillis + patienceMillis);
    handler.ask(new JobQuery(ticket, job, new JobScope("q", ""), until), at(nowMillis));
  }

  private List<BatchCommand> step(long nowMillis, long confirmedMillis) {
    BatchContext context = at(nowMillis);
    handler.step(nanos(confirmedMillis), query -> accepted.get(query.job()), context);
    return context.commands();
  }

  private static BatchCommand answer(long ticket, CallAnswer answer) {
    return new BatchCommand.Answer(ticket, answer);
  }

  private static CallAnswer refused(RefusalCause cause) {
    return new CallAnswer.Refused(cause, 1000);
  }

  @Test
  void aJobIsDeniedOnlyAfterAHeartbeatThatWasSentAfterTheQuestion() {
    ask(1, "a1", 100, 900);
    assertEquals(List.of(), step(400, 100));
    assertEquals(List.of(answer(1, new CallAnswer.NoSuchJob())), step(500, 101));
  }

  @Test
  void aQuestionWaitsForAHeartbeatThatASlowStoreConfirmsLate() {
    ask(1, "a1", 100, 2800);
    assertEquals(List.of(), step(1900, 50));
    assertEquals(List.of(answer(1, new CallAnswer.NoSuchJob())), step(2000, 150));
  }

  @Test
  void questionsAreRefusedBeforeTheirCallersGiveUpIfTheStoreConfirmsNothing() {
    ask(1, "a1", 100, 1500);
    ask(2, "a2", 300, 900);
    assertEquals(List.of(), step(1099, 50));
    assertEquals(List.of(answer(2, refused(RefusalCause.STORE_AWAY))), step(1100, 50));
    assertEquals(List.of(), step(1499, 50));
    assertEquals(List.of(answer(1, refused(RefusalCause.STORE_AWAY))), step(1500, 50));
  }

  @Test
  void aJobThatWasAcceptedMeanwhileIsShown() {
    ask(1, "a1", 100, 900);
    accepted.put("a1", Optional.of(JobPhase.QUEUED));
    assertEquals(List.of(answer(1, new CallAnswer.Phase(JobPhase.QUEUED))), step(500, 101));
  }

  @Test
  void questionsAreRefusedWhenTheEpochEnds() {
    ask(1, "a1", 100, 900);
    BatchContext context = at(200);
    handler.close(context);
    assertEquals(List.of(answer(1, refused(RefusalCause.NOT_OWNER))), context.commands());
  }
}
