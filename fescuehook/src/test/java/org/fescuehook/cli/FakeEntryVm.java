package org.fescuehook.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;

/**
 * HTTP server that answers requests with scripted responses, in order, and records the requests.
 */
final class FakeEntryVm implements AutoCloseable {

  private final HttpServer server;
  private final Queue<ScriptedResponse> responses = new ArrayDeque<>();
  private final List<String> requests = new ArrayList<>();
  private final List<String> bodies = new ArrayList<>();
  private final List<String> tokens = new ArrayList<>();

  private record ScriptedResponse(
      int status, String body, Optional<String> retryAfter, boolean dropped) {}

  FakeEntryVm() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::respond);
    server.start();
  }

  FakeEntryVm respondsWith(int status, String body) {
    responses.add(new ScriptedResponse(status, body, Optional.empty(), false));
    return this;
  }

  FakeEntryVm rejects(int status, String body, int retryAfterSeconds) {
    responses.add(new ScriptedResponse(status, body, Optional.of("" + retryAfterSeconds), false));
    return this;
  }

  FakeEntryVm dropsConnection() {
    responses.add(new ScriptedResponse(0, "", Optional.empty(), true));
    return this;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Returns method and path of each request received. */
  synchronized List<String> requests() {
    return List.copyOf(requests);
  }

  synchronized List<String> bodies() {
    return List.copyOf(bodies);
  }

  synchronized List<String> tokens() {
    return List.copyOf(tokens);
  }

  private synchronized void respond(HttpExchange exchange) throws IOException {
    requests.add(exchange.getRequestMethod() + " " + exchange.getRequestURI());
    bodies.add(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
    tokens.add(String.valueOf(exchange.getRequestHeaders().getFirst("Authorization")));
    ScriptedResponse response = responses.remove();
    if (response.dropped()) {
      exchange.close();
      return;
    }
    response.retryAfter().ifPresent(s -> exchange.getResponseHeaders().add("Retry-After", s));
    byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(response.status(), body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
