package org.fescuehook.net.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.fescuehook.logic.worker.WorkerPort.LeaseState;
import org.fescuehook.logic.worker.WorkerPort.State;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.logic.worker.WorkerPort.WorkerReply;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.net.http.HttpCall;
import org.fescuehook.net.http.HttpResult;

/** Encodes commands to workers as HTTP requests, and decodes the answers to replies. */
final class WorkerCodec {

  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  /** Exit code of a shell for a command that cannot be executed. */
  private static final int CANNOT_EXECUTE = 126;

  private final ObjectMapper mapper = new ObjectMapper();

  /** Returns the request of a command. */
  HttpCall encode(WorkerCommand command) {
    return switch (command) {
      case WorkerCommand.Grant grant -> post("/leases", grantBody(grant));
      case WorkerCommand.Start start -> post(lease(start.lease(), "/start"), startBody(start));
      case WorkerCommand.Renew renew -> post("/renewals", renewBody(renew));
      case WorkerCommand.Checkpoint checkpoint ->
          post(lease(checkpoint.lease(), "/checkpoint"), mapper.createObjectNode());
      case WorkerCommand.Throttle throttle ->
          post(
              lease(throttle.lease(), "/throttle"),
              mapper.createObjectNode().put("percent", throttle.percent()));
      case WorkerCommand.Release release ->
          HttpCall.without(HttpMethod.DELETE, lease(release.lease(), ""));
    };
  }

  /**
   * Decodes the answer to a command.
   *
   * @throws IOException if the answer is not a valid answer to the command
   */
  WorkerReply decode(WorkerId worker, WorkerCommand command, HttpResult.Answered answer)
      throws IOException {
    return switch (command) {
      case WorkerCommand.Grant grant -> granted(worker, grant, answer);
      case WorkerCommand.Renew renew -> renewed(worker, renew, answer);
      case WorkerCommand.Start start -> started(worker, start, answer);
      case WorkerCommand.Checkpoint checkpoint ->
          single(worker, checkpoint.lease(), LeaseState.RUNNING, answer);
      case WorkerCommand.Throttle throttle ->
          single(worker, throttle.lease(), LeaseState.RUNNING, answer);
      case WorkerCommand.Release release ->
          single(worker, release.lease(), LeaseState.GONE, answer);
    };
  }

  private WorkerReply granted(
      WorkerId worker, WorkerCommand.Grant grant, HttpResult.Answered answer) throws IOException {
    if (answer.status() == CONFLICT) {
      return new WorkerReply.GrantRefused(worker, grant.key(), errorOf(answer));
    }
    requireSuccess(answer);
    JsonNode lease = mapper.readTree(answer.body()).path("lease");
    if (!lease.isTextual() || lease.textValue().isEmpty()) {
      throw new IOException("grant without a lease");
    }
    return new WorkerReply.Granted(worker, grant.key(), lease.textValue());
  }

  private WorkerReply renewed(
      WorkerId worker, WorkerCommand.Renew renew, HttpResult.Answered answer) throws IOException {
    requireSuccess(answer);
    JsonNode body = mapper.readTree(answer.body());
    List<State> states = new ArrayList<>();
    for (JsonNode state : body.path("states")) {
      states.add(state(state));
    }
    for (JsonNode gone : body.path("gone")) {
      states.add(new State(gone.asText(), LeaseState.GONE, 0));
    }
    if (!renew.leases().isEmpty() && states.isEmpty()) {
      throw new IOException("renewal without a state");
    }
    return new WorkerReply.States(worker, List.copyOf(states));
  }

  private static State state(JsonNode state) throws IOException {
    try {
      return new State(
          state.required("lease").asText(),
          LeaseState.valueOf(state.required("state").asText().toUpperCase(Locale.ROOT)),
          state.path("exitCode").asInt());
    } catch (IllegalArgumentException e) {
      throw new IOException("state of a lease", e);
    }
  }

  /** Decodes the answer to a start. A worker that cannot run the command reports a failed task. */
  private static WorkerReply started(
      WorkerId worker, WorkerCommand.Start start, HttpResult.Answered answer) throws IOException {
    if (answer.status() == BAD_REQUEST) {
      State failed = new State(start.lease(), LeaseState.FAILED, CANNOT_EXECUTE);
      return new WorkerReply.States(worker, List.of(failed));
    }
    return single(worker, start.lease(), LeaseState.RUNNING, answer);
  }

  private static WorkerReply single(
      WorkerId worker, String lease, LeaseState done, HttpResult.Answered answer)
      throws IOException {
    if (answer.status() == NOT_FOUND) {
      return states(worker, lease, LeaseState.GONE);
    }
    requireSuccess(answer);
    return states(worker, lease, done);
  }

  private static WorkerReply states(WorkerId worker, String lease, LeaseState state) {
    return new WorkerReply.States(worker, List.of(new State(lease, state, 0)));
  }

  private static void requireSuccess(HttpResult.Answered answer) throws IOException {
    if (!answer.succeeded()) {
      throw new IOException("status " + answer.status());
    }
  }

  private String errorOf(HttpResult.Answered answer) throws IOException {
    return mapper.readTree(answer.body()).path("error").asText("refused");
  }

  private HttpCall post(String target, ObjectNode body) {
    return HttpCall.json(HttpMethod.POST, target, body.toString().getBytes(StandardCharsets.UTF_8));
  }

  private static String lease(String lease, String action) {
    return "/leases/" + lease + action;
  }

  private ObjectNode grantBody(WorkerCommand.Grant grant) {
    return mapper
        .createObjectNode()
        .put("key", grant.key())
        .put("accelerators", grant.accelerators())
        .put("cores", grant.cores())
        .put("memoryMegabytes", grant.memoryMegabytes())
        .put("ttlMs", grant.ttlMillis());
  }

  private ObjectNode startBody(WorkerCommand.Start start) {
    return mapper
        .createObjectNode()
        .put("job", start.job())
        .put("attempt", start.attempt())
        .put("member", start.member())
        .put("command", start.command());
  }

  private ObjectNode renewBody(WorkerCommand.Renew renew) {
    ObjectNode body = mapper.createObjectNode().put("ttlMs", renew.ttlMillis());
    ArrayNode leases = body.putArray("leases");
    renew.leases().forEach(leases::add);
    return body;
  }
}
