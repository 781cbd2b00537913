package org.fescuehook.bench.cluster;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;

/** Blocking calls with JSON bodies to one address, for control and operators' ports. */
public final class HttpCalls {
  private static final Duration TIMEOUT = Duration.ofSeconds(40);
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private final HttpClient client;
  private final InetSocketAddress address;

  /** An answer. */
  public record Answer(int status, JsonNode body) {}

  /** Creates calls to an address by a client that is shared. */
  public HttpCalls(HttpClient client, InetSocketAddress address) {
    this.client = client;
    this.address = address;
  }

  /** Returns the client that all calls of a cluster share. */
  public static HttpClient sharedClient() {
    return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  }

  /** Calls by GET. */
  public Answer get(String path) throws ClusterException, InterruptedException {
    return call(path, request(path).GET().build());
  }

  /** Calls by POST; the body is written as JSON. */
  public Answer post(String path, Object body) throws ClusterException, InterruptedException {
    return call(path, request(path).POST(BodyPublishers.ofString(write(body))).build());
  }

  /** Calls by DELETE. */
  public Answer delete(String path) throws ClusterException, InterruptedException {
    return call(path, request(path).DELETE().build());
  }

  /** Converts a part of an answer. */
  public static <T> T convert(JsonNode node, JavaType type) {
    return MAPPER.convertValue(node, type);
  }

  /** Returns the type of a list, for {@link #convert}. */
  public static JavaType listOf(Class<?> element) {
    return MAPPER.getTypeFactory().constructCollectionType(List.class, element);
  }

  private HttpRequest.Builder request(String path) {
    String host = address.getAddress().getHostAddress() + ":" + address.getPort();
    return HttpRequest.newBuilder(URI.create("http://" + host + path)).timeout(TIMEOUT);
  }

  private Answer call(String path, HttpRequest request)
      throws ClusterException, InterruptedException {
    try {
      HttpResponse<byte[]> response = client.send(request, BodyHandlers.ofByteArray());
      return new Answer(response.statusCode(), MAPPER.readTree(response.body()));
    } catch (IOException e) {
      throw new ClusterException(request.method() + " " + path, address.toString(), e);
    }
  }

  private static String write(Object body) {
    return MAPPER.valueToTree(body).toString();
  }
}
