package org.fescuehook.net.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.control.ControlPort;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;

/** Hands callers' requests about jobs to the control port, and sends its answers to the callers. */
final class JobsEndpoint {
  private static final String JSON = "application/json";

  private final ControlPort control;
  private final RequestPreferences preferences;
  private final JobSubmissionParser parser = new JobSubmissionParser(new ObjectMapper());

  JobsEndpoint(ControlPort control, RequestPreferences preferences) {
    this.control = control;
    this.preferences = preferences;
  }

  void submit(CallerExchange exchange, ServiceRequest.Submit submit)
      throws MalformedRequestException {
    offer(exchange, parser.parse(submit.json(), submit.requestId()), 0);
  }

  void show(CallerExchange exchange, ServiceRequest.Show show) {
    ControlPort.Request.Show request = new ControlPort.Request.Show(show.job(), show.waitMillis());
    offer(exchange, request, show.waitMillis());
  }

  void cancel(CallerExchange exchange, ServiceRequest.Cancel cancel) {
    offer(exchange, new ControlPort.Request.Cancel(cancel.job()), 0);
  }

  private void offer(CallerExchange exchange, ControlPort.Request request, long waitMillis) {
    if (!control.offer(request, answer -> answer(exchange, answer))) {
      exchange.refuse(Refusal.of(RefusalReason.QUEUE_FULL, "too much waits for a decision"));
      return;
    }
    long timeoutMillis = preferences.defaultTimeout().toMillis() + waitMillis;
    var timeout =
        exchange
            .loop()
            .schedule(() -> expire(exchange, request), timeoutMillis, TimeUnit.MILLISECONDS);
    exchange.whenFinished(() -> timeout.cancel(false));
  }

  private static void expire(CallerExchange exchange, ControlPort.Request request) {
    boolean mayHaveTakenEffect = !(request instanceof ControlPort.Request.Show);
    RefusalReason reason =
        mayHaveTakenEffect
            ? RefusalReason.DEADLINE_AFTER_DISPATCH
            : RefusalReason.DEADLINE_BEFORE_DISPATCH;
    exchange.refuse(Refusal.of(reason, "no decision came in time"));
  }

  private static void answer(CallerExchange exchange, ControlPort.Answer answer) {
    switch (answer) {
      case ControlPort.Answer.Accepted accepted ->
          json(exchange, 202, jobDocument(accepted.job().value()));
      case ControlPort.Answer.Document document -> json(exchange, 200, document.json());
      case ControlPort.Answer.Done() -> json(exchange, 200, "{}");
      case ControlPort.Answer.Refused refused ->
          exchange.refuse(
              new Refusal(refused.reason(), refused.detail(), refused.retryAfterSeconds()));
      case ControlPort.Answer.Published _, ControlPort.Answer.Conflict _ ->
          exchange.refuse(
              Refusal.of(RefusalReason.BAD_ANSWER, "the answer is none to a job's request"));
    }
  }

  private static String jobDocument(String id) {
    return JsonNodeFactory.instance.objectNode().put("job", id).toString();
  }

  private static void json(CallerExchange exchange, int status, String text) {
    exchange.answer(Answers.whole(status, JSON, text.getBytes(StandardCharsets.UTF_8)));
  }
}
