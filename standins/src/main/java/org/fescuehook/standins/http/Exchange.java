package org.fescuehook.standins.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One request and the means to answer it. */
public final class Exchange {
  private static final int CHUNK_BYTES = 8192;

  private final ChannelHandlerContext context;
  private final HttpMethod method;
  private final QueryStringDecoder uri;
  private final HttpHeaders headers;
  private final byte[] body;

  Exchange(ChannelHandlerContext context, FullHttpRequest request) {
    this.context = context;
    this.method = request.method();
    this.uri = new QueryStringDecoder(request.uri());
    this.headers = request.headers();
    this.body = ByteBufUtil.getBytes(request.content());
  }

  /** Returns the method's name. */
  public String method() {
    return method.name();
  }

  /** Returns the decoded path. */
  public String path() {
    return uri.path();
  }

  /** Returns the path's segments, without empty ones. */
  public List<String> segments() {
    return List.of(uri.path().split("/")).stream().filter(s -> !s.isEmpty()).toList();
  }

  /** Returns a query parameter as a number. */
  public long number(String name, long otherwise) {
    List<String> values = uri.parameters().get(name);
    return values == null ? otherwise : Long.parseLong(values.getFirst());
  }

  /** Returns a header, or the empty text. */
  public String header(String name) {
    return headers.get(name, "");
  }

  /** Returns the whole body. */
  public byte[] body() {
    return body;
  }

  /** Answers with JSON. */
  public void json(int status, Object value) {
    reply(status, Map.of("Content-Type", "application/json"), Json.write(value));
  }

  /** Answers with an error body. */
  public void error(int status, String slug, String detail) {
    json(status, Map.of("error", slug, "detail", detail));
  }

  /** Answers with a body of known length. */
  public void reply(int status, Map<String, String> fields, byte[] content) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
    fields.forEach(response.headers()::set);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    context.writeAndFlush(response, context.voidPromise());
  }

  /** Answers in chunks. */
  public void replyChunked(Map<String, String> fields, byte[] content) {
    writeChunks(fields, content, content.length);
    context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Sends the head and half of the body, then closes the connection. */
  public void cut(Map<String, String> fields, byte[] content, boolean chunked) {
    if (chunked) {
      writeChunks(fields, content, content.length / 2);
    } else {
      HttpResponse head = head(fields);
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, Math.max(1, content.length));
      context.write(head);
      context.write(new DefaultHttpContent(Unpooled.wrappedBuffer(content, 0, content.length / 2)));
    }
    context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /** Closes the connection without an answer. */
  public void close() {
    context.close();
  }

  /** Runs a task on the connection's event loop after a delay; at once if the delay is 0. */
  public void later(long delayMillis, Runnable task) {
    if (delayMillis <= 0) {
      task.run();
      return;
    }
    context.executor().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void writeChunks(Map<String, String> fields, byte[] content, int length) {
    HttpResponse head = head(fields);
    head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
    context.write(head);
    for (int at = 0; at < length; at += CHUNK_BYTES) {
      ByteBuf chunk = Unpooled.wrappedBuffer(content, at, Math.min(CHUNK_BYTES, length - at));
      context.write(new DefaultHttpContent(chunk));
    }
  }

  private static HttpResponse head(Map<String, String> fields) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    fields.forEach(head.headers()::set);
    return head;
  }
}
