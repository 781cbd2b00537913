package org.fescuehook.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import org.fescuehook.logic.batch.BatchCommand.ExecutorOrder;
import org.fescuehook.logic.batch.executor.OrderOutcome;
import org.fescuehook.logic.batch.executor.OrderOutcome.ActiveRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.EndedRun;
import org.fescuehook.logic.batch.executor.OrderOutcome.Rejection;
import org.fescuehook.model.batch.RunEnd;
import org.fescuehook.model.batch.TaskName;
import org.fescuehook.model.batch.TaskRun;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.net.http.HttpCall;
import org.fescuehook.net.http.HttpResult;

/** Encodes orders to executors and decodes the answers. */
final class ExecutorMessages {

  private static final String INSTANCE_HEADER = "Expected-Instance";

  /** Columns of a row of "active", the list of running tasks. */
  private static final int ACTIVE_TASK = 0;

  private static final int ACTIVE_RUN = 1;
  private static final int ACTIVE_CHECKPOINT = 2;
  private static final int ACTIVE_PERCENT = 3;
  private static final int ACTIVE_LOAD = 4;

  /** Columns of a row of "finished", the list of ended runs. */
  private static final int FINISHED_NUMBER = 0;

  private static final int FINISHED_TASK = 1;
  private static final int FINISHED_RUN = 2;
  private static final int FINISHED_RESULT = 3;
  private static final int FINISHED_CHECKPOINT = 4;

  /** Number of ended runs at which an executor cuts its list. */
  private static final int MAX_FINISHED = 500;

  private ExecutorMessages() {}

  /** Encodes an order as an HTTP request to the executor. */
  static HttpCall encode(ExecutorId executor, long fencingToken, ExecutorOrder order) {
    ObjectNode body = WireJson.object();
    String target =
        switch (order) {
          case ExecutorOrder.Poll poll -> {
            body.put("ackedUpTo", poll.acknowledged());
            poll.leaseUntilMillis().ifPresent(until -> body.put("expiresMs", until));
            if (poll.waitMillis() > 0) {
              body.put("waitMs", poll.waitMillis());
            }
            yield "/-/hold";
          }
          case ExecutorOrder.Start start -> {
            put(body, start.run());
            body.put("spec", start.spec());
            body.put("expiresMs", start.leaseUntilMillis());
            if (!start.checkpoint().isEmpty()) {
              body.put("checkpoint", start.checkpoint());
            }
            start.ticket().ifPresent(ticket -> body.put("ticket", ticket));
            yield "/-/run-start";
          }
          case ExecutorOrder.Pace pace -> {
            put(body, pace.run());
            body.put("percent", pace.percent());
            yield "/-/pace";
          }
          case ExecutorOrder.Stop stop -> {
            put(body, stop.run());
            yield "/-/run-stop";
          }
        };
    body.put("fencingToken", fencingToken);
    return HttpCall.json(HttpMethod.POST, target, WireJson.write(body))
        .with(INSTANCE_HEADER, executor.value());
  }

  private static void put(ObjectNode body, TaskRun run) {
    body.put("taskId", run.task().toString());
    body.put("runId", run.number());
  }

  /** Decodes the outcome of an order. */
  static OrderOutcome decode(ExecutorOrder order, HttpResult result) {
    return switch (result) {
      case HttpResult.Failed(Throwable cause, boolean maybeSent) ->
          maybeSent
              ? new OrderOutcome.Unanswered(String.valueOf(cause.getMessage()))
              : new OrderOutcome.NotSent(String.valueOf(cause.getMessage()), timedOut(cause));
      case HttpResult.Answered answered -> decode(order, answered);
    };
  }

  /** Tells whether a connection was neither opened nor refused, so that the host may be cut off. */
  private static boolean timedOut(Throwable cause) {
    return cause instanceof ConnectTimeoutException || cause instanceof TimeoutException;
  }

  private static OrderOutcome decode(ExecutorOrder order, HttpResult.Answered answer) {
    try {
      return switch (answer.status()) {
        case 200 -> decodeSuccess(order, WireJson.parse(answer.body()));
        case 409 -> new OrderOutcome.Rejected(rejection(WireJson.parse(answer.body())));
        case 421 -> new OrderOutcome.OtherIncarnation();
        case 429, 503 -> new OrderOutcome.Rejected(Rejection.UNHEALTHY);
        case 400, 404 -> new OrderOutcome.Rejected(Rejection.OTHER);
        default -> new OrderOutcome.Unanswered("status " + answer.status());
      };
    } catch (MalformedMessageException e) {
      return new OrderOutcome.Unanswered(e.getMessage());
    }
  }

  private static OrderOutcome decodeSuccess(ExecutorOrder order, JsonNode body)
      throws MalformedMessageException {
    WireFields answer = new WireFields("answer", body);
    long clock = answer.number("clockMs");
    if (!(order instanceof ExecutorOrder.Poll)) {
      return new OrderOutcome.Done(clock);
    }
    List<ActiveRun> active = new ArrayList<>();
    for (JsonNode row : body.path("active")) {
      active.add(
          new ActiveRun(
              run(row.path(ACTIVE_TASK), row.path(ACTIVE_RUN)),
              row.path(ACTIVE_CHECKPOINT).asText(),
              row.path(ACTIVE_PERCENT).asInt(),
              row.path(ACTIVE_LOAD).asLong()));
    }
    List<EndedRun> ended = new ArrayList<>();
    for (JsonNode row : body.path("finished")) {
      ended.add(
          new EndedRun(
              row.path(FINISHED_NUMBER).asLong(),
              run(row.path(FINISHED_TASK), row.path(FINISHED_RUN)),
              runEnd(row.path(FINISHED_RESULT).asText()),
              row.path(FINISHED_CHECKPOINT).asText()));
    }
    return new OrderOutcome.Polled(
        answer.numberIfPresent("born"), clock, active, ended, ended.size() >= MAX_FINISHED);
  }

  /** Parses a task name of the form JOB.OCCURRENCE.STEP.INDEX. */
  private static TaskRun run(JsonNode task, JsonNode number) throws MalformedMessageException {
    String[] parts = task.asText().split("\\.");
    if (parts.length != 4) {
      throw new MalformedMessageException("task '" + task.asText() + "'");
    }
    try {
      TaskName name =
          new TaskName(
              parts[0],
              Integer.parseInt(parts[1]),
              Integer.parseInt(parts[2]),
              Integer.parseInt(parts[3]));
      return new TaskRun(name, number.asInt());
    } catch (NumberFormatException e) {
      throw new MalformedMessageException("task '" + task.asText() + "'", e);
    }
  }

  private static RunEnd runEnd(String result) throws MalformedMessageException {
    return switch (result) {
      case "done" -> RunEnd.DONE;
      case "failed" -> RunEnd.FAILED;
      case "stopped" -> RunEnd.STOPPED;
      case "lapsed" -> RunEnd.LEASE_EXPIRED;
      case "broken" -> RunEnd.GANG_BROKEN;
      case "alone" -> RunEnd.GANG_INCOMPLETE;
      default -> throw new MalformedMessageException("end '" + result + "'");
    };
  }

  private static Rejection rejection(JsonNode body) {
    return switch (body.path("reason").asText()) {
      case "fence" -> Rejection.FENCED;
      case "old" -> Rejection.SUPERSEDED;
      case "late" -> Rejection.EXPIRED;
      case "room" -> Rejection.NO_ROOM;
      case "ticket" -> Rejection.NO_TICKET;
      default -> Rejection.OTHER;
    };
  }
}
