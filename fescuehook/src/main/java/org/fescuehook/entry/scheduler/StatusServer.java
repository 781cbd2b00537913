package org.fescuehook.entry.scheduler;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Supplier;
import org.fescuehook.net.listen.ServerPort;

/** Serves short text pages, such as readiness or metrics, over HTTP. */
final class StatusServer {

  private static final int MAX_REQUEST_BYTES = 8 << 10;
  private static final int IDLE_TIMEOUT_SECONDS = 30;

  private final Map<String, Supplier<Page>> pages;
  private final ServerPort listener;

  /** A page and whether it is served with a success status. */
  record Page(boolean success, String text) {}

  /**
   * Creates a server that does not listen yet.
   *
   * @param pages the pages by path
   */
  StatusServer(EventLoopGroup loops, Map<String, Supplier<Page>> pages) {
    this.listener = new ServerPort(loops, new Initializer());
    this.pages = Map.copyOf(pages);
  }

  InetSocketAddress start(InetSocketAddress address) throws IOException {
    return listener.open(address);
  }

  void close() {
    listener.close();
  }

  private FullHttpResponse answer(String path) {
    Supplier<Page> found = pages.get(path);
    if (found == null) {
      return response(HttpResponseStatus.NOT_FOUND, "no such page");
    }
    Page page = found.get();
    HttpResponseStatus status =
        page.success() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    return response(status, page.text());
  }

  private static FullHttpResponse response(HttpResponseStatus status, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    HttpUtil.setContentLength(response, bytes.length);
    return response;
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel opened) {
      opened
          .pipeline()
          .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS))
          .addLast(new HttpServerCodec())
          .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
          .addLast(new RequestHandler());
    }
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      context.writeAndFlush(answer(request.uri()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // The connection of the load balancer is idle or broken; the balancer opens another one.
      context.close();
    }
  }
}
