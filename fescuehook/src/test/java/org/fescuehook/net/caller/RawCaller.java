package org.fescuehook.net.caller;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Caller that sends arbitrary bytes and parses answers strictly. */
final class RawCaller implements AutoCloseable {
  private static final int READ_LIMIT_MILLIS = 20_000;

  /** An answer; {@code whole} is true if it arrived up to the end that its framing announces. */
  record Answer(int status, Map<String, String> headers, String body, boolean whole) {
    String ran() {
      return field("ran");
    }

    String reason() {
      return field("reason");
    }

    private String field(String name) {
      int at = body.indexOf("\"" + name + "\":\"");
      if (at < 0) {
        return "";
      }
      int from = at + name.length() + 4;
      return body.substring(from, body.indexOf('"', from));
    }
  }

  private final Socket socket;
  private final InputStream in;

  RawCaller(InetSocketAddress address) throws IOException {
    socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(READ_LIMIT_MILLIS);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends one request on a new connection and reads the answer. */
  static Answer call(
      InetSocketAddress address, String method, String uri, String fields, String body)
      throws IOException {
    try (RawCaller caller = new RawCaller(address)) {
      caller.send(request(method, uri, fields, body));
      return caller.read();
    }
  }

  static String request(String method, String uri, String fields, String body) {
    return method
        + " "
        + uri
        + " HTTP/1.1\r\nHost: x\r\n"
        + fields
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  void send(String text) throws IOException {
    send(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Reads the head of an answer. */
  Answer readHead() throws IOException {
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    String first = line();
    if (first.isEmpty()) {
      return new Answer(0, headers, "", false);
    }
    for (String field = line(); !field.isEmpty(); field = line()) {
      int colon = field.indexOf(':');
      headers.put(field.substring(0, colon), field.substring(colon + 1).trim());
    }
    return new Answer(Integer.parseInt(first.split(" ")[1]), headers, "", true);
  }

  /** Reads one answer; returns status 0 if the connection ends before a head arrives. */
  Answer read() throws IOException {
    Answer head = readHead();
    if (head.status() == 0) {
      return head;
    }
    Map<String, String> headers = head.headers();
    int status = head.status();
    if ("chunked".equals(headers.get("Transfer-Encoding"))) {
      return chunked(status, headers);
    }
    int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
    byte[] body = in.readNBytes(length);
    String text = new String(body, StandardCharsets.UTF_8);
    return new Answer(status, headers, text, body.length == length);
  }

  private Answer chunked(int status, Map<String, String> headers) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = line();
      if (size.isEmpty()) {
        return new Answer(status, headers, body.toString(StandardCharsets.UTF_8), false);
      }
      int length = Integer.parseInt(size, 16);
      body.writeBytes(in.readNBytes(length));
      line();
      if (length == 0) {
        return new Answer(status, headers, body.toString(StandardCharsets.UTF_8), true);
      }
    }
  }

  private String line() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    try {
      for (int b = in.read(); b >= 0 && b != '\n'; b = in.read()) {
        line.write(b);
      }
    } catch (java.net.SocketException e) {
      return "";
    }
    return line.toString(StandardCharsets.UTF_8).stripTrailing();
  }

  /**
   * Waits for more bytes or the end of the connection; returns whether the other side closed it.
   */
  boolean closedByPeer() throws IOException {
    try {
      return in.read() < 0;
    } catch (java.net.SocketException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
