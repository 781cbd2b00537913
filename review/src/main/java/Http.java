import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server and client on loopback, for the stand-ins and callers of the review. */
final class Http {

  private Http() {}

  /** A request or a response. The start line is split into its first two words. */
  record Message(String first, String second, Map<String, String> headers, byte[] body) {
    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    String path() {
      int query = second.indexOf('?');
      return query < 0 ? second : second.substring(0, query);
    }

    /** Returns a parameter of the query; an empty string if it is missing. */
    String parameter(String name) {
      int query = second.indexOf('?');
      if (query >= 0) {
        for (String part : second.substring(query + 1).split("&")) {
          if (part.startsWith(name + "=")) {
            return java.net.URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
          }
        }
      }
      return "";
    }

    long number(String name, long missing) {
      String text = parameter(name);
      return text.isEmpty() ? missing : Long.parseLong(text);
    }
  }

  /** What a handler answers. */
  record Answer(int status, String type, byte[] body) {
    static Answer json(int status, String text) {
      return new Answer(status, "application/json", text.getBytes(StandardCharsets.UTF_8));
    }
  }

  /** Answers requests; null stands for a connection on which no answer ever comes. */
  interface Handler {
    Answer handle(Message request) throws Exception;
  }

  /** A server with a thread for each connection. */
  static final class Server implements AutoCloseable {
    private final ServerSocket socket;
    private final Handler handler;

    Server(Handler handler) throws IOException {
      this.handler = handler;
      this.socket = new ServerSocket();
      socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
      Thread.ofVirtual().start(this::accept);
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    private void accept() {
      while (!socket.isClosed()) {
        try {
          Socket opened = socket.accept();
          Thread.ofVirtual().start(() -> serve(opened));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket opened) {
      try (opened) {
        opened.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(opened.getInputStream());
        OutputStream out = new BufferedOutputStream(opened.getOutputStream());
        for (Message request = read(in); request != null; request = read(in)) {
          Answer answer = handler.handle(request);
          if (answer == null) {
            // Nothing further is returned on this connection; the peer ends it.
            while (in.read() >= 0) {}
            return;
          }
          String head =
              "HTTP/1.1 " + answer.status + " x\r\nContent-Type: " + answer.type
                  + "\r\nContent-Length: " + answer.body.length + "\r\n\r\n";
          out.write(head.getBytes(StandardCharsets.UTF_8));
          out.write(answer.body);
          out.flush();
        }
      } catch (Exception e) {
        // The peer is gone, or the trial ends.
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Reads a message; null at the end of the stream. */
  static Message read(InputStream in) throws IOException {
    String start = line(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("cut");
    }
    String[] words = start.split(" ");
    return new Message(words[0], words[1], headers, body);
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        return bytes.toString(StandardCharsets.UTF_8).stripTrailing();
      }
      bytes.write(next);
    }
    return null;
  }

  /** Sends one request over a connection of its own; the status is 0 if no whole answer came. */
  static Result call(String address, String method, String target, Map<String, String> headers, String body, int timeoutMillis) {
    int colon = address.indexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(timeoutMillis);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
      OutputStream out = socket.getOutputStream();
      out.write(head.toString().getBytes(StandardCharsets.UTF_8));
      out.write(bytes);
      out.flush();
      Message answer = read(new BufferedInputStream(socket.getInputStream()));
      return answer == null
          ? new Result(0, "", Map.of())
          : new Result(Integer.parseInt(answer.second), answer.text(), answer.headers);
    } catch (IOException | NumberFormatException e) {
      return new Result(0, String.valueOf(e.getMessage()), Map.of());
    }
  }

  /** The answer to a call. */
  record Result(int status, String body, Map<String, String> headers) {}
}
