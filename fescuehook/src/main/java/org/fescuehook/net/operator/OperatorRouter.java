package org.fescuehook.net.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.fescuehook.logic.control.ControlPort;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.job.JobId;

/** Routes the calls of operators to the backend or the control port, and builds their answers. */
final class OperatorRouter {

  private static final String EXPLAIN = "/explain/";
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int BAD_METHOD = 405;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private final OperatorBackend backend;
  private final ControlPort control;
  private final ObjectMapper mapper = new ObjectMapper();

  OperatorRouter(OperatorBackend backend, ControlPort control) {
    this.backend = backend;
    this.control = control;
  }

  /**
   * Returns whether a path is served without a token, since a load balancer's probes carry none.
   */
  static boolean isServedWithoutToken(String path) {
    return path.equals("/livez") || path.equals("/readyz");
  }

  /**
   * Answers a call.
   *
   * @param sink receives the answer; called once, on any thread
   */
  void route(
      HttpMethod method, QueryStringDecoder target, String body, Consumer<OperatorAnswer> sink) {
    String path = target.path();
    if (path.equals("/drain")
        || (path.equals("/configuration") && method.equals(HttpMethod.POST))) {
      change(method, path, body, sink);
      return;
    }
    if (!method.equals(HttpMethod.GET)) {
      sink.accept(OperatorAnswer.error(BAD_METHOD, "method", method + " is not known here"));
      return;
    }
    switch (path) {
      case "/livez" -> sink.accept(OperatorAnswer.json(OK, "{\"live\":true}"));
      case "/readyz" -> sink.accept(readiness());
      case "/metrics" ->
          sink.accept(new OperatorAnswer(OK, OperatorAnswer.PROMETHEUS, backend.metrics(), 0));
      case "/status" -> status(sink);
      case "/configuration" -> sink.accept(configuration(target));
      case "/configuration/history" -> sink.accept(history());
      default -> explain(path, sink);
    }
  }

  private void change(HttpMethod method, String path, String body, Consumer<OperatorAnswer> sink) {
    if (!method.equals(HttpMethod.POST)) {
      sink.accept(OperatorAnswer.error(BAD_METHOD, "method", "use POST"));
      return;
    }
    if (path.equals("/drain")) {
      backend.drain();
      sink.accept(OperatorAnswer.json(ACCEPTED, "{}"));
      return;
    }
    publish(body, sink);
  }

  private OperatorAnswer readiness() {
    Optional<String> reason = backend.notReady();
    return reason
        .map(why -> OperatorAnswer.error(UNAVAILABLE, "not-ready", why).retryAfter(1))
        .orElseGet(() -> OperatorAnswer.json(OK, "{\"ready\":true}"));
  }

  private void status(Consumer<OperatorAnswer> sink) {
    ask(
        new Request.Status(),
        answer ->
            answer instanceof Answer.Document document
                ? OperatorAnswer.json(OK, statusBody(document.json()))
                : refusal(answer),
        sink);
  }

  private ObjectNode statusBody(String controlDocument) {
    VmStatus vm = backend.status();
    ObjectNode body = mapper.createObjectNode();
    ObjectNode vmNode = body.putObject("vm");
    vmNode.put("name", vm.vm()).put("domain", vm.domain()).put("incarnation", vm.incarnation());
    vmNode.put("ready", vm.notReady().isEmpty());
    vm.notReady().ifPresent(why -> vmNode.put("notReady", why));
    vmNode.put("revision", vm.revision()).put("logReachable", vm.logReachable());
    vmNode.put("inFlight", vm.inFlight());
    putAll(vmNode.putArray("peers"), vm.peers());
    putAll(vmNode.putArray("peersReachingLog"), vm.peersReachingLog());
    putAll(vmNode.putArray("leaving"), vm.leaving());
    try {
      body.set("control", mapper.readTree(controlDocument));
    } catch (JsonProcessingException e) {
      body.put("control", controlDocument);
    }
    return body;
  }

  private static void putAll(ArrayNode array, List<String> values) {
    values.forEach(array::add);
  }

  private void explain(String path, Consumer<OperatorAnswer> sink) {
    if (!path.startsWith(EXPLAIN) || path.length() == EXPLAIN.length()) {
      sink.accept(OperatorAnswer.error(NOT_FOUND, "not-found", path));
      return;
    }
    JobId job = new JobId(path.substring(EXPLAIN.length()));
    ask(
        new Request.Explain(job),
        answer ->
            answer instanceof Answer.Document document
                ? OperatorAnswer.json(OK, document.json())
                : refusal(answer),
        sink);
  }

  private OperatorAnswer configuration(QueryStringDecoder target) {
    List<String> revisions = target.parameters().getOrDefault("revision", List.of());
    if (revisions.isEmpty()) {
      return found(backend.configuration(), "no configuration is in force");
    }
    try {
      long revision = Long.parseLong(revisions.get(0));
      return found(backend.configuration(revision), "revision is not kept here");
    } catch (NumberFormatException e) {
      return OperatorAnswer.error(BAD_REQUEST, "bad-request", "revision is a whole number");
    }
  }

  private OperatorAnswer found(Optional<Configuration> configuration, String notFoundDetail) {
    return configuration
        .map(present -> OperatorAnswer.json(OK, document(present)))
        .orElseGet(() -> OperatorAnswer.error(NOT_FOUND, "not-found", notFoundDetail));
  }

  private ObjectNode document(Configuration configuration) {
    return mapper
        .createObjectNode()
        .put("revision", configuration.revision())
        .put("base", configuration.baseRevision())
        .put("author", configuration.author())
        .put("reason", configuration.reason())
        .put("declarations", configuration.text());
  }

  private OperatorAnswer history() {
    ObjectNode body = mapper.createObjectNode();
    ArrayNode publications = body.putArray("publications");
    for (OperatorBackend.Publication publication : backend.history()) {
      publications
          .addObject()
          .put("revision", publication.revision())
          .put("base", publication.baseRevision())
          .put("author", publication.author())
          .put("reason", publication.reason());
    }
    return OperatorAnswer.json(OK, body);
  }

  private void publish(String body, Consumer<OperatorAnswer> sink) {
    JsonNode publication;
    try {
      publication = mapper.readTree(body);
    } catch (JsonProcessingException e) {
      sink.accept(OperatorAnswer.error(BAD_REQUEST, "bad-request", "the body is no JSON"));
      return;
    }
    if (!publication.path("base").isIntegralNumber()
        || !publication.path("author").isTextual()
        || !publication.path("declarations").isTextual()) {
      sink.accept(
          OperatorAnswer.error(
              BAD_REQUEST, "bad-request", "base, author and declarations are needed"));
      return;
    }
    Request.Publish request =
        new Request.Publish(
            publication.path("base").longValue(),
            publication.path("author").textValue(),
            publication.path("reason").asText(""),
            publication.path("declarations").textValue());
    ask(request, this::published, sink);
  }

  private OperatorAnswer published(Answer answer) {
    return switch (answer) {
      case Answer.Published published ->
          OperatorAnswer.json(OK, mapper.createObjectNode().put("revision", published.revision()));
      case Answer.Conflict conflict ->
          OperatorAnswer.json(
              CONFLICT,
              mapper
                  .createObjectNode()
                  .put("error", "conflict")
                  .put("detail", "another publication won")
                  .put("winner", conflict.winner())
                  .put("author", conflict.author()));
      case Answer.Accepted accepted -> refusal(answer);
      case Answer.Document document -> refusal(answer);
      case Answer.Done done -> refusal(answer);
      case Answer.Refused refused -> refusal(answer);
    };
  }

  private void ask(
      Request request, Function<Answer, OperatorAnswer> onAnswer, Consumer<OperatorAnswer> sink) {
    boolean accepted = control.offer(request, answer -> sink.accept(onAnswer.apply(answer)));
    if (!accepted) {
      sink.accept(
          OperatorAnswer.error(UNAVAILABLE, "queue-full", "the decision ring is full")
              .retryAfter(1));
    }
  }

  private static OperatorAnswer refusal(Answer answer) {
    if (answer instanceof Answer.Refused refused) {
      return OperatorAnswer.error(
              refused.reason().status(), refused.reason().slug(), refused.detail())
          .retryAfter(refused.retryAfterSeconds());
    }
    return OperatorAnswer.error(500, "unexpected-answer", answer.getClass().getSimpleName());
  }
}
