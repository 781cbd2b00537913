package org.fescuehook.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.CompletableFuture;

/** HTTP client of one stand-in. */
public final class StandInClient implements AutoCloseable {
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final String base;

  public StandInClient(InetSocketAddress address) {
    this.base = "http://" + address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  public HttpResponse<String> get(String path) throws IOException, InterruptedException {
    return client.send(request(path).GET().build(), BodyHandlers.ofString());
  }

  public HttpResponse<String> post(String path, String body)
      throws IOException, InterruptedException {
    return client.send(
        request(path).POST(BodyPublishers.ofString(body)).build(), BodyHandlers.ofString());
  }

  public CompletableFuture<HttpResponse<String>> getLater(String path) {
    return client.sendAsync(request(path).GET().build(), BodyHandlers.ofString());
  }

  public CompletableFuture<HttpResponse<String>> postLater(String path, String body) {
    return client.sendAsync(
        request(path).POST(BodyPublishers.ofString(body)).build(), BodyHandlers.ofString());
  }

  @Override
  public void close() {
    client.shutdownNow();
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create(base + path)).header("Request-Token", "t-" + path);
  }
}
