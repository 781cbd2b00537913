package org.fescuehook.net.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests; one with both a length and chunked framing is malformed. */
final class StrictRequestDecoder extends HttpRequestDecoder {

  StrictRequestDecoder(HttpDecoderConfig config) {
    super(config);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
