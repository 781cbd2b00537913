import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback, with a thread for each connection. */
final class Http {

  private Http() {}

  /** A request as it was read. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    String parameter(String name) {
      int query = target.indexOf('?');
      if (query < 0) {
        return "";
      }
      for (String pair : target.substring(query + 1).split("&")) {
        if (pair.startsWith(name + "=")) {
          return java.net.URLDecoder.decode(
              pair.substring(name.length() + 1), StandardCharsets.UTF_8);
        }
      }
      return "";
    }

    long number(String name, long otherwise) {
      String value = parameter(name);
      return value.isEmpty() ? otherwise : Long.parseLong(value);
    }
  }

  /** A response; its headers are those of the server besides. */
  record Response(int status, byte[] body, Map<String, String> headers) {
    static Response of(int status, byte[] body) {
      return new Response(status, body, Map.of());
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Answers requests; an absent response closes the connection without an answer. */
  interface Handler {
    Optional<Response> handle(Request request) throws Exception;
  }

  /** A server on a free loopback port. */
  static final class Server {
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;
    private volatile boolean cut;

    Server(Handler handler) throws IOException {
      this.handler = handler;
      this.listener = new ServerSocket();
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
      Thread.ofVirtual().start(this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    String address() {
      return "127.0.0.1:" + port();
    }

    /**
     * Sets whether the path to this server is cut. Nothing passes while it is; what a client sent
     * and then gave up by closing its connection is lost.
     */
    void cut(boolean nowCut) {
      cut = nowCut;
    }

    /** Closes the port and resets all connections, as the crash of the process does. */
    void crash() {
      closed = true;
      try {
        listener.close();
      } catch (IOException e) {
        // It is closed already.
      }
      for (Socket socket : open) {
        try {
          socket.setSoLinger(true, 0);
          socket.close();
        } catch (IOException e) {
          // It is closed already.
        }
      }
    }

    private void accept() {
      while (!closed) {
        try {
          Socket socket = listener.accept();
          open.add(socket);
          Thread.ofVirtual().start(() -> serve(socket));
        } catch (IOException e) {
          if (!closed) {
            throw new IllegalStateException(e);
          }
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        socket.setTcpNoDelay(true);
        PushbackInputStream in =
            new PushbackInputStream(new BufferedInputStream(socket.getInputStream()));
        while (!closed) {
          Optional<Request> request = readRequest(in);
          if (request.isEmpty() || !passes(socket, in)) {
            return;
          }
          Optional<Response> response = handler.handle(request.get());
          if (closed || response.isEmpty() || !passes(socket, in)) {
            return;
          }
          write(socket.getOutputStream(), response.get());
        }
      } catch (Exception e) {
        // The connection is over.
      } finally {
        open.remove(socket);
      }
    }

    /** Waits for the end of a cut; false if the client has closed the connection meanwhile. */
    private boolean passes(Socket socket, PushbackInputStream in) throws Exception {
      boolean waited = false;
      while (cut) {
        waited = true;
        Thread.sleep(5);
      }
      if (!waited) {
        return true;
      }
      socket.setSoTimeout(1);
      try {
        int next = in.read();
        if (next < 0) {
          return false;
        }
        in.unread(next);
      } catch (SocketTimeoutException e) {
        // The client still waits.
      }
      socket.setSoTimeout(0);
      return true;
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      if (next != '\r') {
        line.write(next);
      }
      next = in.read();
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  private static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new TreeMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return headers;
  }

  private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("the message is cut");
    }
    return body;
  }

  private static Optional<Request> readRequest(InputStream in) throws IOException {
    String start = line(in);
    if (start == null || start.isEmpty()) {
      return Optional.empty();
    }
    String[] words = start.split(" ");
    Map<String, String> headers = headers(in);
    return Optional.of(new Request(words[0], words[1], headers, body(in, headers)));
  }

  private static void write(OutputStream out, Response response) throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + response.status() + " status\r\n");
    response.headers().forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("Content-Length: " + response.body().length + "\r\n\r\n");
    out.write(concat(head.toString().getBytes(StandardCharsets.UTF_8), response.body()));
    out.flush();
  }

  private static byte[] concat(byte[] one, byte[] other) {
    byte[] all = java.util.Arrays.copyOf(one, one.length + other.length);
    System.arraycopy(other, 0, all, one.length, other.length);
    return all;
  }

  /** A connection of a client, which reads responses in the order of its requests. */
  static final class Client implements AutoCloseable {
    private final Socket socket;
    private final InputStream in;

    Client(int port, int timeoutMillis) throws IOException {
      socket = new Socket();
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMillis);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMillis);
      in = new BufferedInputStream(socket.getInputStream());
    }

    void send(Request request) throws IOException {
      StringBuilder head =
          new StringBuilder(request.method() + " " + request.target() + " HTTP/1.1\r\n");
      request.headers().forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
      if (request.body().length > 0) {
        head.append("Content-Type: application/json\r\n");
        head.append("Content-Length: " + request.body().length + "\r\n");
      }
      head.append("\r\n");
      byte[] bytes = concat(head.toString().getBytes(StandardCharsets.UTF_8), request.body());
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
    }

    Response receive() throws IOException {
      String start = line(in);
      if (start == null) {
        throw new IOException("the connection was closed");
      }
      Map<String, String> headers = headers(in);
      return new Response(Integer.parseInt(start.split(" ")[1]), body(in, headers), headers);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
