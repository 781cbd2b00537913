package org.fescuehook.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.advice.AdviceOutcome;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.net.http.HttpCall;
import org.fescuehook.net.http.HttpClientConnection;
import org.fescuehook.net.http.HttpResult;

/** Sends questions to the advice service, one at a time. */
public final class AdviceClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /**
   * Timeout for an answer. The service needs time for each executor named, and handles the calls of
   * a VM one after another.
   */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

  /** Limit on the validity of tickets; longer ones need not fit into nanoseconds. */
  private static final long MAX_VALIDITY_MILLIS = Duration.ofDays(1).toMillis();

  /** Columns of a row of "allowed". */
  private static final int ALLOWED_EXECUTOR = 0;

  private static final int ALLOWED_TICKET = 1;

  private final Optional<HttpClientConnection> connection;
  private final BiConsumer<Long, AdviceOutcome> sink;

  /**
   * Creates a client without a connection.
   *
   * @param service the address of the service; absent if there is none
   * @param sink receives the number of a question and its outcome, on the event loop
   */
  public AdviceClient(
      EventLoop loop, Optional<InetSocketAddress> service, BiConsumer<Long, AdviceOutcome> sink) {
    this.connection =
        service.map(address -> new HttpClientConnection(loop, address, CONNECT_TIMEOUT));
    this.sink = sink;
  }

  /** Sends a question; the outcome goes to the sink. */
  public void ask(BatchCommand.AskAdvice question) {
    if (connection.isEmpty()) {
      sink.accept(question.number(), new AdviceOutcome.Unavailable("no service in the settings"));
      return;
    }
    ObjectNode body = WireJson.object().put("stepId", question.step());
    // The advice protocol calls executors "workers".
    ArrayNode workers = body.putArray("workers");
    question.executors().forEach(executor -> workers.add(executor.value()));
    HttpCall call = HttpCall.json(HttpMethod.POST, "/-/advise", WireJson.write(body));
    connection
        .get()
        .send(call, ANSWER_TIMEOUT, result -> sink.accept(question.number(), decode(result)));
  }

  static AdviceOutcome decode(HttpResult result) {
    return switch (result) {
      case HttpResult.Failed failed ->
          new AdviceOutcome.Unavailable(String.valueOf(failed.cause().getMessage()));
      case HttpResult.Answered answered when !answered.succeeded() ->
          new AdviceOutcome.Unavailable("status " + answered.status());
      case HttpResult.Answered answered -> decode(answered.body());
    };
  }

  private static AdviceOutcome decode(byte[] text) {
    try {
      JsonNode body = WireJson.parse(text);
      Map<ExecutorId, String> tickets = new HashMap<>();
      for (JsonNode row : body.path("allowed")) {
        tickets.put(
            new ExecutorId(row.path(ALLOWED_EXECUTOR).asText()), row.path(ALLOWED_TICKET).asText());
      }
      long validity = Math.clamp(body.path("validityMs").asLong(), 0, MAX_VALIDITY_MILLIS);
      return new AdviceOutcome.Given(tickets, validity);
    } catch (MalformedMessageException | IllegalArgumentException e) {
      return new AdviceOutcome.Unavailable(String.valueOf(e.getMessage()));
    }
  }
}
