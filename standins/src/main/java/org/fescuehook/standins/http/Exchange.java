package org.fescuehook.standins.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A request and the means to respond to it, at once, later or never. */
public final class Exchange {
  private static final int CHUNK_BYTES = 8192;

  private final ChannelHandlerContext context;
  private final FullHttpRequest request;
  private final QueryStringDecoder uri;
  private final byte[] body;

  /** A step in the handling of a request. */
  @FunctionalInterface
  public interface Step {
    /** Executes the step; an exception leads to a response with the status 400. */
    void run() throws IOException;
  }

  Exchange(ChannelHandlerContext context, FullHttpRequest request) {
    this.context = context;
    this.request = request;
    this.uri = new QueryStringDecoder(request.uri());
    this.body = ByteBufUtil.getBytes(request.content());
  }

  /** Returns the method and the path, as in {@code GET /members}. */
  public String call() {
    return request.method() + " " + uri.path();
  }

  /** Returns the decoded path. */
  public String path() {
    return uri.path();
  }

  /** Returns a query parameter as a number, or {@code otherwise} if it is absent. */
  public long number(String name, long otherwise) {
    List<String> values = uri.parameters().getOrDefault(name, List.of());
    return values.isEmpty() ? otherwise : Long.parseLong(values.getFirst());
  }

  /** Returns a query parameter, or an empty string if it is absent. */
  public String text(String name) {
    return uri.parameters().getOrDefault(name, List.of("")).getFirst();
  }

  /** Returns a header, or an empty string if it is absent. */
  public String header(String name) {
    return request.headers().get(name, "");
  }

  /** Returns the address and port from which the request came. */
  public String caller() {
    return String.valueOf(context.channel().remoteAddress());
  }

  /** Returns the whole body. */
  public byte[] body() {
    return body;
  }

  /** Parses the body as JSON. */
  public <T> T json(Class<T> type) throws IOException {
    return Json.read(body, type);
  }

  /** Responds with a JSON body. */
  public void reply(int status, Object value) {
    reply(status, Map.of("Content-Type", "application/json"), Json.write(value));
  }

  /** Responds with a JSON body that describes an error. */
  public void error(int status, String slug, String detail) {
    reply(status, Map.of("error", slug, "detail", detail));
  }

  /** Responds with a body whose length is sent in {@code Content-Length}. */
  public void reply(int status, Map<String, String> fields, byte[] content) {
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(content));
    fields.forEach(response.headers()::set);
    response.headers().set("Content-Length", content.length);
    context.writeAndFlush(response);
  }

  /** Responds with the status 200 and a chunked body. */
  public void replyChunked(Map<String, String> fields, byte[] content) {
    writeChunks(fields, content, content.length);
    context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Starts a response with a chunked body, sends half of the body and closes the connection. */
  public void cut(Map<String, String> fields, byte[] content) {
    writeChunks(fields, content, content.length / 2);
    context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /** Closes the connection without a response. */
  public void close() {
    context.close();
  }

  /** Executes a step on the connection's event loop after a delay; a delay of 0 executes it now. */
  public void later(long delayMillis, Step step) {
    if (delayMillis <= 0) {
      attempt(step);
      return;
    }
    context.executor().schedule(() -> attempt(step), delayMillis, TimeUnit.MILLISECONDS);
  }

  private void attempt(Step step) {
    try {
      step.run();
    } catch (IOException | RuntimeException e) {
      error(400, "bad-request", String.valueOf(e.getMessage()));
    }
  }

  private void writeChunks(Map<String, String> fields, byte[] content, int length) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    fields.forEach(head.headers()::set);
    head.headers().set("Transfer-Encoding", "chunked");
    context.write(head);
    for (int at = 0; at < length; at += CHUNK_BYTES) {
      int size = Math.min(CHUNK_BYTES, length - at);
      context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(content, at, size)));
    }
  }
}
