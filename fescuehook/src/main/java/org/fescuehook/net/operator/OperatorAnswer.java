package org.fescuehook.net.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An answer of the operators' port.
 *
 * @param retryAfterSeconds delay after which to retry; 0 sends no Retry-After header
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

  /** Creates an answer that reports an error. */
  static OperatorAnswer error(int status, String error, String detail) {
    return json(
        status, JsonNodeFactory.instance.objectNode().put("error", error).put("detail", detail));
  }

  /** Returns a copy of this answer that advises a delay before a retry. */
  OperatorAnswer retryAfter(int seconds) {
    return new OperatorAnswer(status, contentType, body, seconds);
  }
}
