import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server and client on loopback, one virtual thread for each connection. */
final class Http {

  private Http() {}

  record Request(
      String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {

    String call() {
      return method + " " + path;
    }

    long number(String name, long ifAbsent) {
      return query.containsKey(name) ? Long.parseLong(query.get(name)) : ifAbsent;
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** An answer; status 0 closes the connection without one. */
  record Answer(int status, String type, byte[] body) {

    static Answer json(int status, Object value) {
      byte[] body = Json.write(value).getBytes(StandardCharsets.UTF_8);
      return new Answer(status, "application/json", body);
    }

    static Answer raw(byte[] body) {
      return new Answer(200, "application/octet-stream", body);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  interface Handler {
    Answer handle(Request request) throws Exception;
  }

  /** Serves a free loopback port. */
  static int serve(Handler handler) throws IOException {
    ServerSocket listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    Thread.ofVirtual().start(() -> accept(listener, handler));
    return listener.getLocalPort();
  }

  private static void accept(ServerSocket listener, Handler handler) {
    while (true) {
      try {
        Socket socket = listener.accept();
        Thread.ofVirtual().start(() -> converse(socket, handler));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void converse(Socket socket, Handler handler) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      OutputStream out = socket.getOutputStream();
      while (true) {
        Request request = read(in);
        if (request == null) {
          return;
        }
        Answer answer = handler.handle(request);
        if (answer.status() == 0) {
          return;
        }
        String head =
            "HTTP/1.1 " + answer.status() + " X\r\nContent-Type: " + answer.type()
                + "\r\nContent-Length: " + answer.body().length + "\r\n\r\n";
        out.write(join(head.getBytes(StandardCharsets.ISO_8859_1), answer.body()));
        out.flush();
      }
    } catch (Exception e) {
      // The peer has closed the connection, or is gone.
    }
  }

  private static byte[] join(byte[] head, byte[] body) {
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  private static Request read(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    String[] words = first.split(" ");
    Map<String, String> headers = headers(in);
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    String[] target = words[1].split("\\?", 2);
    Map<String, String> query = new HashMap<>();
    if (target.length == 2) {
      for (String pair : target[1].split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    return new Request(words[0], target[0], query, headers, body);
  }

  private static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return headers;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return null;
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /**
   * Sends a request on a connection of its own.
   *
   * @throws IOException if there is no complete answer within the time
   */
  static Answer send(int port, String method, String path, Map<String, String> headers, byte[] body, int timeoutMillis)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMillis);
      StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("Content-Type: application/json\r\nContent-Length: ").append(body.length).append("\r\n\r\n");
      socket.getOutputStream().write(join(head.toString().getBytes(StandardCharsets.ISO_8859_1), body));
      socket.getOutputStream().flush();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String status = line(in);
      if (status == null) {
        throw new EOFException("no answer");
      }
      Map<String, String> fields = headers(in);
      int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
      byte[] content = in.readNBytes(length);
      if (content.length < length) {
        throw new EOFException("the answer is cut");
      }
      return new Answer(Integer.parseInt(status.split(" ")[1]), "", content);
    }
  }
}
