package org.fescuehook.net.executor;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes the headers that apply to a single connection only (RFC 9110, section 7.6.1). */
public final class HopByHopHeaders {
  private static final List<CharSequence> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          "keep-alive",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          "proxy-connection",
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE);

  private HopByHopHeaders() {}

  /** Removes the hop-by-hop headers, and those that the Connection header names. */
  public static void remove(HttpHeaders headers) {
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      removeNamed(headers, value);
    }
    for (CharSequence name : NAMES) {
      headers.remove(name);
    }
  }

  private static void removeNamed(HttpHeaders headers, String connection) {
    for (String option : connection.split(",")) {
      String name = option.trim();
      if (!name.isEmpty() && !isFraming(name)) {
        headers.remove(name);
      }
    }
  }

  private static boolean isFraming(String name) {
    return HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)
        || HttpHeaderNames.HOST.contentEqualsIgnoreCase(name);
  }
}
