package org.fescuehook.net.http;

import io.netty.handler.codec.http.HttpMethod;
import java.util.HashMap;
import java.util.Map;

/**
 * A request to send to a server.
 *
 * @param method the method
 * @param target path and query
 * @param contentType type of the body
 * @param body the body, empty for none
 * @param headers additional headers
 */
public record HttpCall(
    HttpMethod method,
    String target,
    String contentType,
    byte[] body,
    Map<String, String> headers) {

  private static final String JSON = "application/json";
  private static final byte[] NO_BODY = new byte[0];

  /** Copies the headers. */
  public HttpCall {
    headers = Map.copyOf(headers);
  }

  /** Creates a request without additional headers. */
  public HttpCall(HttpMethod method, String target, String contentType, byte[] body) {
    this(method, target, contentType, body, Map.of());
  }

  /** Creates a request without a body. */
  public static HttpCall without(HttpMethod method, String target) {
    return new HttpCall(method, target, JSON, NO_BODY);
  }

  /** Creates a request with a JSON body. */
  public static HttpCall json(HttpMethod method, String target, byte[] body) {
    return new HttpCall(method, target, JSON, body);
  }

  /** Returns a copy of this request with an additional header. */
  public HttpCall with(String name, String value) {
    Map<String, String> more = new HashMap<>(headers);
    more.put(name, value);
    return new HttpCall(method, target, contentType, body, more);
  }

  /** Returns the method and the target, for logs and errors. */
  public String step() {
    return method.name() + " " + target;
  }
}
