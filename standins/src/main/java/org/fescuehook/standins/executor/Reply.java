package org.fescuehook.standins.executor;

import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32;
import org.fescuehook.standins.http.Exchange;

/**
 * What a run request answers.
 *
 * @param fields header fields
 * @param content whole body
 * @param chunked whether the body is sent in chunks
 */
record Reply(Map<String, String> fields, byte[] content, boolean chunked) {
  private static final int MAX_SIZE = 64 << 20;

  /** Computes the answer to a request from its path and body. */
  static Reply to(Exchange exchange) {
    if (!exchange.path().equals("/size")) {
      return new Reply(checked(exchange.body()), exchange.body(), false);
    }
    int size = (int) Math.min(MAX_SIZE, exchange.number("bytes", 0));
    byte[] content = new byte[size];
    for (int i = 0; i < size; i++) {
      content[i] = (byte) (i * 31 + i / 251);
    }
    return new Reply(checked(content), content, true);
  }

  /** Sends the answer under a token. */
  void send(Exchange exchange, String token) {
    Map<String, String> all = withToken(token);
    if (chunked) {
      exchange.replyChunked(all, content);
    } else {
      exchange.reply(200, all, content);
    }
  }

  /** Sends half of the answer and closes the connection. */
  void cut(Exchange exchange, String token) {
    exchange.cut(withToken(token), content, chunked);
  }

  private Map<String, String> withToken(String token) {
    Map<String, String> all = new HashMap<>(fields);
    all.put(ExecutorStandIn.TOKEN, token);
    return all;
  }

  private static Map<String, String> checked(byte[] content) {
    CRC32 crc = new CRC32();
    crc.update(content);
    return Map.of("Checksum", Long.toHexString(crc.getValue()));
  }
}
