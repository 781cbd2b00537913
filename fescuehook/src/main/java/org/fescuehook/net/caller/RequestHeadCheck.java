package org.fescuehook.net.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;

/** Checks the head of a request before its body is read. */
final class RequestHeadCheck {
  private final RequestPreferences preferences;

  RequestHeadCheck(RequestPreferences preferences) {
    this.preferences = preferences;
  }

  void check(HttpRequest request) throws MalformedRequestException {
    HttpHeaders headers = request.headers();
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      throw new MalformedRequestException("only HTTP/1.1 is served");
    }
    if (request.method().equals(HttpMethod.CONNECT) || !request.uri().startsWith("/")) {
      throw new MalformedRequestException("the target must be a path");
    }
    if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
      throw new MalformedRequestException("one Host header is needed");
    }
    checkFraming(headers);
    long length = HttpUtil.getContentLength(request, 0L);
    if (length > preferences.maxBodyBytes()) {
      throw new MalformedRequestException(
          RefusalReason.TOO_LARGE, "the body is larger than the bound");
    }
  }

  private static void checkFraming(HttpHeaders headers) throws MalformedRequestException {
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean chunkedOnly =
        codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.getFirst());
    if (!codings.isEmpty() && !chunkedOnly) {
      throw new MalformedRequestException("the only transfer coding is chunked");
    }
    if (!codings.isEmpty() && headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      throw new MalformedRequestException("both Content-Length and Transfer-Encoding");
    }
    if (headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
      throw new MalformedRequestException("more than one Content-Length");
    }
    boolean expects = headers.contains(HttpHeaderNames.EXPECT);
    boolean expectsContinue =
        headers.containsValue(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE, true);
    if (expects && !expectsContinue) {
      throw new MalformedRequestException("the only expectation is 100-continue");
    }
  }

  /** Returns the refusal for bytes that could not be decoded as a request. */
  static Refusal refusal(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    if (tooLong) {
      return Refusal.of(RefusalReason.TOO_LARGE, "the headers are larger than the bound");
    }
    return Refusal.of(RefusalReason.BAD_REQUEST, "malformed HTTP");
  }
}
