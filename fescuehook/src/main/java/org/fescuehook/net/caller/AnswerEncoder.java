package org.fescuehook.net.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.function.BooleanSupplier;

/** Encodes answers; one to a HEAD request has no body. */
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
