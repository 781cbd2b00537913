package org.fescuehook.net.caller;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Builds answers whose whole body is already in memory. */
final class Answers {
  private Answers() {}

  static FullHttpResponse whole(int status, String contentType, byte[] body) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    if (!contentType.isEmpty()) {
      answer.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    }
    if (!hasNoContentLength(status)) {
      answer.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    return answer;
  }

  private static boolean hasNoContentLength(int status) {
    return status == HttpResponseStatus.NO_CONTENT.code()
        || status == HttpResponseStatus.NOT_MODIFIED.code();
  }
}
