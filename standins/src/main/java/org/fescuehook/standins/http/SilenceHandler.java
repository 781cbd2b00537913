package org.fescuehook.standins.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;

/** Drops all that passes in either direction once silenced; the connection stays open. */
final class SilenceHandler extends ChannelDuplexHandler {
  private volatile boolean silenced;

  void silence() {
    silenced = true;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (silenced) {
      ReferenceCountUtil.release(message);
      return;
    }
    super.channelRead(context, message);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (silenced) {
      ReferenceCountUtil.release(message);
      return;
    }
    super.write(context, message, promise);
  }
}
