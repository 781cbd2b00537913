package org.fescuehook.cli.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.Durations;

/** Sends HTTP requests to one port of an entry VM and parses its JSON responses. */
public final class EntryClient implements AutoCloseable {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();
  private final String address;
  private final Optional<String> token;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param address address of the port
   * @param token bearer token, which the operators' port may require
   * @param timeout longest time to wait for a complete response
   */
  public EntryClient(InetSocketAddress address, Optional<String> token, Duration timeout) {
    this.address = Addresses.format(address);
    this.token = token;
    this.timeout = timeout;
  }

  /** Returns the address of the port as text. */
  public String address() {
    return address;
  }

  /** Sends a request without a body. */
  public Response send(String method, String path) throws EntryUnreachableException {
    return exchange(builder(path).method(method, BodyPublishers.noBody()).build());
  }

  /** Sends a request with a JSON body. */
  public Response send(String method, String path, Object body, Map<String, String> headers)
      throws EntryUnreachableException {
    HttpRequest.Builder builder = builder(path).header("Content-Type", "application/json");
    headers.forEach(builder::header);
    try {
      String json = MAPPER.writeValueAsString(body);
      return exchange(builder.method(method, BodyPublishers.ofString(json)).build());
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("request body cannot be written as JSON: " + body, e);
    }
  }

  @Override
  public void close() {
    client.shutdownNow();
  }

  private HttpRequest.Builder builder(String path) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(timeout);
    token.ifPresent(value -> builder.header("Authorization", "Bearer " + value));
    return builder;
  }

  private Response exchange(HttpRequest request) throws EntryUnreachableException {
    String requestLine = request.method() + " " + request.uri().getRawPath();
    try {
      HttpResponse<String> response =
          client
              .sendAsync(request, BodyHandlers.ofString())
              .get(timeout.toMillis(), TimeUnit.MILLISECONDS);
      return new Response(response.statusCode(), parse(response.body()), retryAfter(response));
    } catch (JsonProcessingException e) {
      throw new EntryUnreachableException(requestLine, address, "the answer is no JSON");
    } catch (ExecutionException e) {
      throw new EntryUnreachableException(requestLine, address, problem(e.getCause()));
    } catch (TimeoutException e) {
      throw new EntryUnreachableException(
          requestLine, address, "nothing whole within " + Durations.format(timeout));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new EntryUnreachableException(requestLine, address, "interrupted");
    }
  }

  private static String problem(Throwable cause) {
    if (cause instanceof ConnectException) {
      return "connection refused";
    }
    return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
  }

  private static JsonNode parse(String body) throws JsonProcessingException {
    return MAPPER.readTree(body);
  }

  private static OptionalInt retryAfter(HttpResponse<String> response) {
    try {
      OptionalLong seconds = response.headers().firstValueAsLong("Retry-After");
      return seconds.isPresent()
          ? OptionalInt.of(Math.toIntExact(seconds.getAsLong()))
          : OptionalInt.empty();
    } catch (NumberFormatException | ArithmeticException e) {
      return OptionalInt.empty();
    }
  }
}
