package org.fescuehook.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.maintenance.MaintenanceOutcome;
import org.fescuehook.logic.batch.maintenance.MaintenanceOutcome.Reason;
import org.fescuehook.model.batch.Machine;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.net.http.HttpCall;
import org.fescuehook.net.http.HttpResult;

/** Encodes calls of the machine API and decodes the answers. */
final class MachineMessages {

  private static final Pattern WHOLE_NUMBER = Pattern.compile("0|[1-9]\\d{0,17}");
  private static final int FOUND = 200;

  private MachineMessages() {}

  /**
   * A page of the list of machines.
   *
   * @param next token of the next page; absent on the last one
   */
  record Page(List<Machine> machines, Optional<String> next) {}

  static HttpCall list(Optional<String> pageToken) {
    String query =
        pageToken
            .map(token -> "?pageToken=" + URLEncoder.encode(token, StandardCharsets.UTF_8))
            .orElse("");
    return HttpCall.without(HttpMethod.GET, "/-/machines" + query);
  }

  /**
   * Decodes a page.
   *
   * @throws MalformedMessageException if there was no answer, or it cannot be read
   */
  static Page decodePage(HttpResult result) throws MalformedMessageException {
    if (result instanceof HttpResult.Failed(Throwable cause, boolean maybeSent)) {
      throw new MalformedMessageException(String.valueOf(cause.getMessage()));
    }
    HttpResult.Answered answer = (HttpResult.Answered) result;
    if (answer.status() != FOUND) {
      throw new MalformedMessageException("status " + answer.status());
    }
    WireFields body = new WireFields("list of machines", WireJson.parse(answer.body()));
    List<Machine> machines = new ArrayList<>();
    for (WireFields machine : body.objects("machines")) {
      machines.add(machine(machine));
    }
    boolean more = body.has("nextToken") && !body.object().path("nextToken").asText().isEmpty();
    Optional<String> next =
        more ? Optional.of(body.object().path("nextToken").asText()) : Optional.empty();
    return new Page(machines, next);
  }

  private static Machine machine(WireFields fields) throws MalformedMessageException {
    Machine.State state =
        switch (fields.text("state")) {
          case "up" -> Machine.State.UP;
          case "moving" -> Machine.State.LEAVING;
          case "upkeep" -> Machine.State.IN_MAINTENANCE;
          // A state that is not known counts as away.
          default -> Machine.State.DOWN;
        };
    Optional<ExecutorId> executor =
        fields.has("id") && !fields.object().path("id").asText().isBlank()
            ? Optional.of(new ExecutorId(fields.object().path("id").asText()))
            : Optional.empty();
    return new Machine(new MachineId(fields.text("machineId")), state, executor);
  }

  static HttpCall begin(BatchCommand.BeginMaintenance call, String caller) {
    ObjectNode body = WireJson.object().put("machineId", call.machine().value());
    String wave = call.wave().value();
    if (WHOLE_NUMBER.matcher(wave).matches()) {
      body.put("wave", Long.parseLong(wave));
    } else {
      body.put("wave", wave);
    }
    return HttpCall.json(HttpMethod.POST, "/-/machine-upkeep", WireJson.write(body))
        .with("Duty-Holder", caller)
        .with("Fencing-Token", String.valueOf(call.fenceToken()));
  }

  static MaintenanceOutcome decodeCall(HttpResult result) {
    return switch (result) {
      case HttpResult.Failed failed when !failed.maybeSent() ->
          new MaintenanceOutcome.NotSent(String.valueOf(failed.cause().getMessage()));
      case HttpResult.Failed failed ->
          new MaintenanceOutcome.Unanswered(String.valueOf(failed.cause().getMessage()));
      case HttpResult.Answered answer -> decodeAnswer(answer);
    };
  }

  private static MaintenanceOutcome decodeAnswer(HttpResult.Answered answer) {
    return switch (answer.status()) {
      case FOUND -> new MaintenanceOutcome.Begun();
      case 400, 404 -> new MaintenanceOutcome.Refused(Reason.NO_SUCH_MACHINE);
      case 409 -> conflict(answer);
      case 429 -> new MaintenanceOutcome.Refused(Reason.TOO_MANY_CALLS);
      default -> new MaintenanceOutcome.Unanswered("status " + answer.status());
    };
  }

  private static MaintenanceOutcome conflict(HttpResult.Answered answer) {
    try {
      String reason = WireJson.parse(answer.body()).path("reason").asText();
      return switch (reason) {
        case "fence" -> new MaintenanceOutcome.Refused(Reason.FENCED);
        case "busy" -> new MaintenanceOutcome.Refused(Reason.BUSY);
        case "wave" -> new MaintenanceOutcome.Refused(Reason.NOT_IN_WAVE);
        default -> new MaintenanceOutcome.Unanswered("status 409, reason '" + reason + "'");
      };
    } catch (MalformedMessageException e) {
      return new MaintenanceOutcome.Unanswered("status 409, " + e.getMessage());
    }
  }
}
