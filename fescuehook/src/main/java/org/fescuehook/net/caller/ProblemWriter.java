package org.fescuehook.net.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.fescuehook.model.request.RefusalReason;

/** Writes refusals as problem documents (RFC 9457). */
final class ProblemWriter {
  private static final String CONTENT_TYPE = "application/problem+json";

  private final ObjectMapper mapper = new ObjectMapper();

  private record Problem(
      String type, String title, int status, String detail, String reason, String ran) {}

  FullHttpResponse write(Refusal refusal) {
    RefusalReason reason = refusal.reason();
    FullHttpResponse answer = Answers.whole(reason.status(), CONTENT_TYPE, body(refusal));
    if (refusal.retryAfterSeconds() > 0) {
      answer.headers().setInt(HttpHeaderNames.RETRY_AFTER, refusal.retryAfterSeconds());
    }
    return answer;
  }

  private byte[] body(Refusal refusal) {
    RefusalReason reason = refusal.reason();
    Problem problem =
        new Problem(
            "urn:fescuehook:problem:" + reason.slug(),
            reason.slug().replace('-', ' '),
            reason.status(),
            refusal.detail(),
            reason.slug(),
            reason.executionStatus().slug());
    try {
      return mapper.writeValueAsBytes(problem);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a problem document is always writable", e);
    }
  }
}
