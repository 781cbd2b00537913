package org.fescuehook.net.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.function.BooleanSupplier;

/** Encodes answers, and omits the body of an answer to a HEAD request. */
final class AnswerEncoder extends HttpResponseEncoder {
  private final BooleanSupplier headOnly;

  AnswerEncoder(BooleanSupplier headOnly) {
    this.headOnly = headOnly;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse answer) {
    return super.isContentAlwaysEmpty(answer) || headOnly.getAsBoolean();
  }
}
