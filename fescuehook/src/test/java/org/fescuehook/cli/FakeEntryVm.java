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

/** Answers the requests of commands one by one as scripted, and notes them. */
final class FakeEntryVm implements AutoCloseable {

  private final HttpServer server;
  private final Queue<Answer> answers = new ArrayDeque<>();
  private final List<String> requests = new ArrayList<>();
  private final List<String> bodies = new ArrayList<>();
  private final List<String> tokens = new ArrayList<>();

  private record Answer(int status, String body, Optional<String> retryAfter, boolean lost) {}

  FakeEntryVm() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::answer);
    server.start();
  }

  FakeEntryVm answers(int status, String body) {
    answers.add(new Answer(status, body, Optional.empty(), false));
    return this;
  }

  FakeEntryVm refuses(int status, String body, int retryAfterSeconds) {
    answers.add(new Answer(status, body, Optional.of("" + retryAfterSeconds), false));
    return this;
  }

  FakeEntryVm losesTheAnswer() {
    answers.add(new Answer(0, "", Optional.empty(), true));
    return this;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Returns method and path of each request. */
  synchronized List<String> requests() {
    return List.copyOf(requests);
  }

  synchronized List<String> bodies() {
    return List.copyOf(bodies);
  }

  synchronized List<String> tokens() {
    return List.copyOf(tokens);
  }

  private synchronized void answer(HttpExchange exchange) throws IOException {
    requests.add(exchange.getRequestMethod() + " " + exchange.getRequestURI());
    bodies.add(new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
    tokens.add(String.valueOf(exchange.getRequestHeaders().getFirst("Authorization")));
    Answer answer = answers.remove();
    if (answer.lost()) {
      exchange.close();
      return;
    }
    answer.retryAfter().ifPresent(s -> exchange.getResponseHeaders().add("Retry-After", s));
    byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(answer.status(), body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
