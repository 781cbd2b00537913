package org.fescuehook.cli.client;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EntryClientTest {

  private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(300);

  @Test
  @Timeout(30)
  void incompleteResponseTimesOut() throws IOException {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        EntryClient client = client(server)) {
      CompletableFuture<Socket> connection =
          CompletableFuture.supplyAsync(() -> sendPartialResponse(server));

      assertThrows(EntryUnreachableException.class, () -> client.send("GET", "/status"));

      connection.join().close();
    }
  }

  private static EntryClient client(ServerSocket server) {
    InetSocketAddress address =
        new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    return new EntryClient(address, Optional.empty(), RESPONSE_TIMEOUT);
  }

  private static Socket sendPartialResponse(ServerSocket server) {
    try {
      Socket socket = server.accept();
      String partialResponse = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"half\":";
      socket.getOutputStream().write(partialResponse.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().flush();
      return socket;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
