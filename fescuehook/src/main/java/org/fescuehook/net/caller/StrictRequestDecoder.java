package org.fescuehook.net.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests, and rejects one that has both a Content-Length and chunked framing. */
final class StrictRequestDecoder extends HttpRequestDecoder {

  StrictRequestDecoder(HttpDecoderConfig config) {
    super(config);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
  }
}
