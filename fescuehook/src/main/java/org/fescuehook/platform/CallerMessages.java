package org.fescuehook.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.model.batch.JobPhase;

/** Encodes the answers to callers as HTTP responses. */
final class CallerMessages {

  private static final long MILLIS_PER_SECOND = 1000;

  private CallerMessages() {}

  static FullHttpResponse encode(CallAnswer answer) {
    return switch (answer) {
      case CallAnswer.Accepted accepted -> response(HttpResponseStatus.OK, WireJson.object());
      case CallAnswer.Phase(JobPhase phase) ->
          response(HttpResponseStatus.OK, WireJson.object().put("state", wireName(phase)));
      case CallAnswer.Cancelled cancelled -> response(HttpResponseStatus.OK, WireJson.object());
      case CallAnswer.Pending(int jobs) ->
          response(HttpResponseStatus.OK, WireJson.object().put("pending", jobs));
      case CallAnswer.NoSuchJob none -> fault(HttpResponseStatus.GONE, "no such job");
      case CallAnswer.NoSuchQueue none -> fault(HttpResponseStatus.NOT_FOUND, "no such queue");
      case CallAnswer.UnknownKey unknown -> fault(HttpResponseStatus.UNAUTHORIZED, "unknown key");
      case CallAnswer.Malformed(String reason) -> fault(HttpResponseStatus.BAD_REQUEST, reason);
      case CallAnswer.Refused refused -> refused(refused);
      case CallAnswer.Undecided undecided ->
          fault(HttpResponseStatus.GATEWAY_TIMEOUT, undecided.cause().tag());
    };
  }

  /** Returns a 503 response, which the platform reads as "was not accepted and never runs". */
  private static FullHttpResponse refused(CallAnswer.Refused refused) {
    FullHttpResponse response =
        fault(HttpResponseStatus.SERVICE_UNAVAILABLE, refused.cause().tag());
    long seconds = Math.ceilDiv(refused.retryAfterMillis(), MILLIS_PER_SECOND);
    if (seconds > 0) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    return response;
  }

  private static String wireName(JobPhase phase) {
    return switch (phase) {
      case QUEUED -> "queued";
      case IN_PROGRESS -> "in_progress";
      case COMPLETED -> "completed";
      case FAILED -> "failed";
      case CANCELLED -> "cancelled";
    };
  }

  static FullHttpResponse fault(HttpResponseStatus status, String reason) {
    return response(status, WireJson.object().put("reason", reason));
  }

  private static FullHttpResponse response(HttpResponseStatus status, ObjectNode body) {
    byte[] bytes = WireJson.write(body);
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    HttpUtil.setContentLength(response, bytes.length);
    return response;
  }
}
