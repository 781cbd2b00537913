package org.fescuehook.net.caller;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Executor on loopback with a configurable behaviour; its journal lists the requests that it ran.
 */
final class FakeExecutor implements AutoCloseable {

  /** A completely received request. */
  record Request(String method, String uri, Map<String, String> headers, byte[] body) {
    String token() {
      return headers.getOrDefault("request-token", "");
    }
  }

  /** Serves the connections of the executor. */
  interface Behaviour {
    /** Serves a connection, which is closed when this method returns. */
    void serve(FakeExecutor executor, Socket socket, InputStream in)
        throws IOException, InterruptedException;
  }

  /** Computes the answers to requests. */
  interface Answering {
    /** Returns the bytes of the answer. */
    byte[] answer(Request request) throws InterruptedException;
  }

  final List<Request> journal = new CopyOnWriteArrayList<>();
  final AtomicInteger connections = new AtomicInteger();
  private final ServerSocket listening;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile Behaviour behaviour;

  FakeExecutor(Behaviour behaviour) throws IOException {
    this.behaviour = behaviour;
    this.listening = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Adds each request to the journal, then answers it and keeps the connection open. */
  static Behaviour answering(Answering answering) {
    return (executor, socket, in) -> {
      while (true) {
        Request request = read(in);
        executor.journal.add(request);
        socket.getOutputStream().write(answering.answer(request));
      }
    };
  }

  /** Answers each request with its URI. */
  static Behaviour echoing() {
    return answering(request -> ok(request, request.uri()));
  }

  static byte[] ok(Request request, String text) {
    return answer(200, request.token(), "", text);
  }

  static byte[] notRun(Request request) {
    return answer(503, request.token(), "Not-Run: true\r\n", "");
  }

  static byte[] answer(int status, String token, String fields, String text) {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 "
            + status
            + " X\r\nRequest-Token: "
            + token
            + "\r\n"
            + fields
            + "Content-Type: text/plain\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    return (head + text).getBytes(StandardCharsets.UTF_8);
  }

  void behave(Behaviour next) {
    behaviour = next;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listening.getLocalSocketAddress();
  }

  private void accept() {
    while (!listening.isClosed()) {
      try {
        Socket socket = listening.accept();
        sockets.add(socket);
        connections.incrementAndGet();
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      behaviour.serve(this, socket, new BufferedInputStream(socket.getInputStream()));
    } catch (IOException | InterruptedException e) {
      // The other side closed the connection; the journal holds what was run.
    }
  }

  /** Reads a whole request; throws if the stream ends before the request does. */
  static Request read(InputStream in) throws IOException {
    String[] first = line(in).split(" ");
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String field = line(in); !field.isEmpty(); field = line(in)) {
      int colon = field.indexOf(':');
      headers.put(field.substring(0, colon), field.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("cut request");
    }
    return new Request(first[0], first[1], headers, body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new IOException("cut request");
      }
      line.write(b);
    }
    return line.toString(StandardCharsets.UTF_8).stripTrailing();
  }

  /** Closes all connections; new ones are still accepted. */
  void closeConnections() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    sockets.clear();
  }

  @Override
  public void close() throws IOException {
    listening.close();
    closeConnections();
  }
}
