package org.fescuehook.net.http;

import io.netty.handler.codec.http.HttpMethod;

/**
 * A request of a client.
 *
 * @param method the method
 * @param target path and query
 * @param contentType type of the body
 * @param body the body, empty for none
 */
public record HttpCall(HttpMethod method, String target, String contentType, byte[] body) {

  private static final String JSON = "application/json";
  private static final byte[] NO_BODY = new byte[0];

  /** Creates a request without a body. */
  public static HttpCall without(HttpMethod method, String target) {
    return new HttpCall(method, target, JSON, NO_BODY);
  }

  /** Creates a request with a JSON body. */
  public static HttpCall json(HttpMethod method, String target, byte[] body) {
    return new HttpCall(method, target, JSON, body);
  }

  /** Returns the method and the target, for logs and errors. */
  public String step() {
    return method.name() + " " + target;
  }
}
