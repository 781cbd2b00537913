package org.fescuehook.net.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An answer of the operators' port.
 *
 * @param retryAfterSeconds when to come back; 0 for no advice
 */
record OperatorAnswer(int status, String contentType, String body, int retryAfterSeconds) {

  static final String JSON = "application/json";

  /** Content type of the Prometheus text format. */
  static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";

  /** Creates a JSON answer. */
  static OperatorAnswer json(int status, String body) {
    return new OperatorAnswer(status, JSON, body, 0);
  }

  /** Creates a JSON answer. */
  static OperatorAnswer json(int status, ObjectNode body) {
    return json(status, body.toString());
  }

  /** Creates an error. */
  static OperatorAnswer error(int status, String error, String detail) {
    return json(
        status, JsonNodeFactory.instance.objectNode().put("error", error).put("detail", detail));
  }

  /** Returns this answer with advice when to come back. */
  OperatorAnswer retryAfter(int seconds) {
    return new OperatorAnswer(status, contentType, body, seconds);
  }
}
