package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescuehook.logic.batch.BatchCommand.ExecutorOrder;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.net.http.HttpCall;
import org.fescuehook.net.http.HttpResult;
import org.junit.jupiter.api.Test;

class ExecutorMessagesTest {

  private static final TaskRun RUN = new TaskRun(new TaskName("5c0e7a21d94b36f8", 0, 1, 17), 2);
  static final ExecutorOrder POLL = new ExecutorOrder.Poll(57, OptionalLong.of(486_000), 0);

  private static OrderOutcome decode(ExecutorOrder order, int status, String body) {
    return ExecutorMessages.decode(
        order, new HttpResult.Answered(status, body.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void aStartOrderNamesTaskRunFencingTokenAndExecutor() {
    HttpCall call =
        ExecutorMessages.encode(
            new ExecutorId("i-1"),
            7,
            new ExecutorOrder.Start(RUN, "s", "cp", Optional.empty(), 486_000));

    assertEquals("/-/run-start", call.target());
    assertEquals("i-1", call.headers().get("Expected-Instance"));
    assertEquals(
        "{\"taskId\":\"5c0e7a21d94b36f8.0.1.17\",\"runId\":2,\"spec\":\"s\",\"expiresMs\":486000,"
            + "\"checkpoint\":\"cp\",\"fencingToken\":7}",
        new String(call.body(), StandardCharsets.UTF_8));
  }

  @Test
  void aStartOrderCarriesItsAdviceTicket() {
    HttpCall call =
        ExecutorMessages.encode(
            new ExecutorId("i-1"), 7, new ExecutorOrder.Start(RUN, "s", "", Optional.of("t"), 5));

    assertTrue(new String(call.body(), StandardCharsets.UTF_8).contains("\"ticket\":\"t\""));
  }

  @Test
  void aPaceOrderNamesTheRunAndItsPercentage() {
    HttpCall call =
        ExecutorMessages.encode(new ExecutorId("i-1"), 7, new ExecutorOrder.Pace(RUN, 30));

    assertEquals("/-/pace", call.target());
    assertEquals(
        "{\"taskId\":\"5c0e7a21d94b36f8.0.1.17\",\"runId\":2,\"percent\":30,\"fencingToken\":7}",
        new String(call.body(), StandardCharsets.UTF_8));
  }

  @Test
  void aPollAnswerIdentifiesTheIncarnationOfTheExecutor() {
    OrderOutcome outcome =
        decode(POLL, 200, "{\"clockMs\":5,\"born\":1786115069591,\"active\":[],\"finished\":[]}");

    assertEquals(
        new OrderOutcome.Polled(
            OptionalLong.of(1_786_115_069_591L), 5, List.of(), List.of(), false),
        outcome);
  }

  @Test
  void aPollAnswerWithAMalformedStartTimeCountsAsUnanswered() {
    assertInstanceOf(
        OrderOutcome.Unanswered.class,
        decode(POLL, 200, "{\"clockMs\":5,\"born\":\"1\",\"active\":[],\"finished\":[]}"));
  }

  @Test
  void aPollAnswerListsActiveAndFinishedRuns() {
    OrderOutcome outcome =
        decode(
            POLL,
            200,
            "{\"clockMs\":482113,\"active\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"cp\",41,7]],"
                + "\"finished\":[[58,\"5c0e7a21d94b36f8.0.1.17\",1,\"broken\",\"\"]]}");

    TaskRun first = new TaskRun(RUN.task(), 1);
    assertEquals(
        new OrderOutcome.Polled(
            OptionalLong.empty(),
            482_113,
            List.of(new OrderOutcome.ActiveRun(RUN, "cp", 41, 7)),
            List.of(new OrderOutcome.EndedRun(58, first, RunEnd.GANG_BROKEN, "")),
            false),
        outcome);
  }

  /** Guards against a cut list that is taken for a whole one. */
  @Test
  void moreRunsMayHaveEndedThanAPollAnswerWith500FinishedRunsLists() {
    assertFalse(polled(499).moreEnded());
    OrderOutcome.Polled cut = polled(500);
    assertEquals(500, cut.ended().size());
    assertTrue(cut.moreEnded());
  }

  private static OrderOutcome.Polled polled(int finished) {
    String rows =
        IntStream.rangeClosed(1, finished)
            .mapToObj(number -> "[" + number + ",\"a.0.0." + number + "\",1,\"done\",\"\"]")
            .collect(Collectors.joining(","));
    String body = "{\"clockMs\":5,\"active\":[],\"finished\":[" + rows + "]}";
    return assertInstanceOf(OrderOutcome.Polled.class, decode(POLL, 200, body));
  }

  @Test
  void eachStatusAndRejectionReasonHasItsOutcome() {
    ExecutorOrder stop = new ExecutorOrder.Stop(RUN);
    assertEquals(new OrderOutcome.Done(5), decode(stop, 200, "{\"clockMs\":5}"));
    assertEquals(new OrderOutcome.Rejected(Rejection.FENCED), rejected("fence"));
    assertEquals(new OrderOutcome.Rejected(Rejection.SUPERSEDED), rejected("old"));
    assertEquals(new OrderOutcome.Rejected(Rejection.EXPIRED), rejected("late"));
    assertEquals(new OrderOutcome.Rejected(Rejection.NO_ROOM), rejected("room"));
    assertEquals(new OrderOutcome.Rejected(Rejection.NO_TICKET), rejected("ticket"));
    assertEquals(new OrderOutcome.Rejected(Rejection.UNHEALTHY), decode(stop, 503, ""));
    assertEquals(new OrderOutcome.OtherIncarnation(), decode(stop, 421, ""));
    assertInstanceOf(OrderOutcome.Unanswered.class, decode(stop, 502, ""));
  }

  private static OrderOutcome rejected(String reason) {
    return decode(new ExecutorOrder.Stop(RUN), 409, "{\"reason\":\"" + reason + "\"}");
  }

  @Test
  void anUnreadableAnswerCountsAsUnanswered() {
    assertInstanceOf(OrderOutcome.Unanswered.class, decode(POLL, 200, "{\"active\":[[\"x\",1]]}"));
    assertInstanceOf(OrderOutcome.Unanswered.class, decode(POLL, 200, "cut"));
    assertInstanceOf(
        OrderOutcome.Unanswered.class,
        ExecutorMessages.decode(POLL, new HttpResult.Failed(new IOException("reset"), true)));
  }

  @Test
  void anOrderWithoutAConnectionCountsAsNotSent() {
    assertEquals(
        new OrderOutcome.NotSent("refused", false),
        ExecutorMessages.decode(POLL, new HttpResult.Failed(new IOException("refused"), false)));
  }

  /** A refused connection shows that the host is reached; one that times out does not. */
  @Test
  void aConnectionThatTimesOutIsToldFromARefusedOne() {
    assertEquals(
        new OrderOutcome.NotSent("timed out", true),
        ExecutorMessages.decode(
            POLL, new HttpResult.Failed(new ConnectTimeoutException("timed out"), false)));
    assertEquals(
        new OrderOutcome.NotSent("no answer", true),
        ExecutorMessages.decode(
            POLL, new HttpResult.Failed(new TimeoutException("no answer"), false)));
  }
}
