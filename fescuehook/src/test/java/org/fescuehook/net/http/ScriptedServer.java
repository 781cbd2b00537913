package org.fescuehook.net.http;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** HTTP server that handles the requests of all connections by one script, in order of arrival. */
public final class ScriptedServer implements Closeable {

  private static final Pattern LENGTH =
      Pattern.compile("content-length: (\\d+)", Pattern.CASE_INSENSITIVE);

  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final Queue<Act> script = new ConcurrentLinkedQueue<>();
  private final Queue<String> requests = new ConcurrentLinkedQueue<>();
  private final Queue<Socket> connections = new ConcurrentLinkedQueue<>();
  private final AtomicInteger accepted = new AtomicInteger();
  private final Thread acceptor;

  /** Opens the server on a free port of the loopback. */
  public ScriptedServer() throws IOException {
    acceptor = start(this::acceptAll);
  }

  /** The reaction to a request. */
  public sealed interface Act {
    /** Answers at once. */
    record Answer(int status, String body) implements Act {}

    /** Answers after a delay, and reads nothing else from the connection meanwhile. */
    record LateAnswer(Duration delay, int status, String body) implements Act {}

    /** Never answers. */
    record Silence() implements Act {}

    /** Closes the connection. */
    record Close() implements Act {}
  }

  /** Adds acts to the script. */
  public void then(Act... acts) {
    script.addAll(List.of(acts));
  }

  /** Returns the address on which the server listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Returns the received requests, each as method and target, a space and the body. */
  public Queue<String> requests() {
    return requests;
  }

  /** Returns the number of connections accepted so far. */
  public int accepted() {
    return accepted.get();
  }

  /** Closes the server; once this returns, connections to its address are refused. */
  @Override
  public void close() throws IOException {
    server.close();
    awaitAcceptor();
    for (Socket connection : connections) {
      connection.close();
    }
  }

  /** The kernel accepts connections for as long as a thread is still in a call to accept. */
  private void awaitAcceptor() throws IOException {
    try {
      acceptor.join();
    } catch (InterruptedException e) {
      throw new InterruptedIOException(e.getMessage());
    }
  }

  private void acceptAll() {
    try {
      while (!server.isClosed()) {
        Socket connection = server.accept();
        accepted.incrementAndGet();
        connections.add(connection);
        start(() -> serve(connection));
      }
    } catch (IOException e) {
      // The server was closed.
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      while (true) {
        requests.add(read(connection.getInputStream()));
        if (!act(connection, script.remove())) {
          return;
        }
      }
    } catch (IOException e) {
      // The connection was closed by either side.
    }
  }

  private static boolean act(Socket connection, Act act) throws IOException {
    return switch (act) {
      case Act.Answer answer -> {
        answer(connection, answer.status(), answer.body());
        yield true;
      }
      case Act.LateAnswer answer -> {
        delay(answer.delay());
        answer(connection, answer.status(), answer.body());
        yield true;
      }
      case Act.Silence silence -> true;
      case Act.Close close -> false;
    };
  }

  private static void answer(Socket connection, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head = "HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n".formatted(status, bytes.length);
    connection.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
    connection.getOutputStream().write(bytes);
  }

  /** Delays the connection's own thread; no thread of a test waits here. */
  private static void delay(Duration delay) throws IOException {
    try {
      new CountDownLatch(1).await(delay.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      throw new InterruptedIOException(e.getMessage());
    }
  }

  private static String read(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("closed");
      }
      head.append((char) next);
    }
    Matcher length = LENGTH.matcher(head);
    int bytes = length.find() ? Integer.parseInt(length.group(1)) : 0;
    String body = new String(input.readNBytes(bytes), StandardCharsets.UTF_8);
    return head.substring(0, head.indexOf(" HTTP/1.1")) + " " + body;
  }

  private static Thread start(Runnable task) {
    Thread thread = new Thread(task, "scripted-server");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
