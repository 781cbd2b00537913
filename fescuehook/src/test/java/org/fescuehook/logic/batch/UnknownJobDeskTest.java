package org.fescuehook.logic.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.model.batch.JobPhase;
import org.junit.jupiter.api.Test;

class UnknownJobDeskTest {

  private final UnknownJobDesk desk = new UnknownJobDesk();
  private final Map<String, Optional<JobPhase>> accepted =
      new HashMap<>(Map.of("a1", Optional.empty(), "a2", Optional.empty()));

  private static BatchTurn at(long millis) {
    return new BatchTurn(nanos(millis), 0);
  }

  private static long nanos(long millis) {
    return Duration.ofMillis(millis).toNanos();
  }

  private List<BatchCommand> step(long nowMillis, long confirmedMillis) {
    BatchTurn turn = at(nowMillis);
    desk.step(nanos(confirmedMillis), accepted::get, turn);
    return turn.commands();
  }

  private static BatchCommand answer(long ticket, CallAnswer answer) {
    return new BatchCommand.Answer(ticket, answer);
  }

  private static CallAnswer refused(RefusalCause cause) {
    return new CallAnswer.Refused(cause, 1000);
  }

  @Test
  void aJobIsDeniedOnlyAfterAHeartbeatThatWasSentAfterTheQuestion() {
    desk.ask(1, "a1", at(100));
    assertEquals(List.of(), step(400, 100));
    assertEquals(List.of(answer(1, new CallAnswer.NoSuchJob())), step(500, 101));
  }

  @Test
  void questionsAreRefusedIfTheStoreConfirmsNothing() {
    desk.ask(1, "a1", at(100));
    desk.ask(2, "a2", at(300));
    assertEquals(List.of(), step(900, 50));
    assertEquals(List.of(answer(1, refused(RefusalCause.STORE_AWAY))), step(901, 50));
    assertEquals(List.of(answer(2, refused(RefusalCause.STORE_AWAY))), step(1101, 50));
  }

  @Test
  void aJobThatWasAcceptedMeanwhileIsShown() {
    desk.ask(1, "a1", at(100));
    accepted.put("a1", Optional.of(JobPhase.QUEUED));
    assertEquals(List.of(answer(1, new CallAnswer.Phase(JobPhase.QUEUED))), step(500, 101));
  }

  @Test
  void questionsAreRefusedWhenTheEpochEnds() {
    desk.ask(1, "a1", at(100));
    BatchTurn turn = at(200);
    desk.close(turn);
    assertEquals(List.of(answer(1, refused(RefusalCause.NOT_OWNER))), turn.commands());
  }
}
