package org.fescuehook.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.fescuehook.cli.client.Response;

/** Turns error responses of an entry VM into exceptions with a one-line message for the user. */
final class Refusals {

  private static final int UNAUTHORIZED = 401;
  private static final int FORBIDDEN = 403;
  private static final int NOT_FOUND = 404;

  private Refusals() {}

  /** Returns the exception for a response whose status reports no success. */
  static CommandException of(Response response) {
    if (response.status() == UNAUTHORIZED) {
      return new CommandException(
          ExitCode.REFUSED,
          "the operators' token was not accepted; give --token-file FILE or set"
              + " FESCUEHOOK_OPERATOR_TOKEN");
    }
    ExitCode code = response.status() == NOT_FOUND ? ExitCode.NOT_FOUND : ExitCode.REFUSED;
    return new CommandException(code, message(response));
  }

  private static String message(Response response) {
    StringBuilder text = new StringBuilder("refused: ").append(reason(response));
    String detail = response.body().path("detail").asText("").replace("\n", " | ");
    if (!detail.isEmpty()) {
      text.append(": ").append(detail);
    }
    String ran = response.body().path("ran").asText("");
    if (!ran.isEmpty()) {
      text.append(" (ran: ").append(ran).append(')');
    }
    response
        .retryAfterSeconds()
        .ifPresent(s -> text.append("; try again after ").append(s).append(" s"));
    if (response.status() == FORBIDDEN && response.retryAfterSeconds().isEmpty()) {
      text.append("; ask an operator");
    }
    return text.toString();
  }

  private static String reason(Response response) {
    for (String field : new String[] {"reason", "error", "title"}) {
      JsonNode node = response.body().path(field);
      if (node.isTextual()) {
        return node.asText();
      }
    }
    return "HTTP status " + response.status();
  }
}
