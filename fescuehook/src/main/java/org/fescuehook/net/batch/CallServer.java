package org.fescuehook.net.batch;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.net.listen.ServerPort;
import org.fescuehook.wire.batch.ForwardedAnswer;
import org.fescuehook.wire.batch.ForwardedCall;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves the calls about batch jobs that other entry VMs forward to this one. */
public final class CallServer {

  private static final Logger LOGGER = LoggerFactory.getLogger(CallServer.class);

  /**
   * Timeout of forwarded calls: the longest time for which a caller waits. The forwarding VM
   * enforces the timeout of the actual caller itself.
   */
  private static final Duration FORWARDED_CALL_TIMEOUT = Duration.ofSeconds(30);

  /** Delay after which callers may retry a call that this VM cannot decode; others may. */
  private static final long RETRY_AFTER_MILLIS = 1000;

  private final CallPort port;
  private final OwnerHints hints;
  private final ServerPort listener;

  /** Creates a server that does not listen yet. */
  public CallServer(EventLoopGroup loops, CallPort port, OwnerHints hints) {
    this.listener = new ServerPort(loops, new Initializer());
    this.port = port;
    this.hints = hints;
  }

  /**
   * Starts listening.
   *
   * @return the address in use
   * @throws IOException if the address cannot be bound
   */
  public InetSocketAddress start(InetSocketAddress address) throws IOException {
    return listener.open(address);
  }

  /** Stops listening. */
  public void close() {
    listener.close();
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel opened) {
      CallPipeline.assemble(
          opened.pipeline(), ForwardedCall.getDefaultInstance(), new CallHandler());
    }
  }

  private final class CallHandler extends SimpleChannelInboundHandler<ForwardedCall> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ForwardedCall message) {
      if (message.getOperation() == ForwardedCall.Operation.OWNER_MOVED) {
        hints.hinted(CallCodec.decode(message.getOwner()));
        return;
      }
      if (CallCodec.isProbe(message)) {
        context.writeAndFlush(CallCodec.probeAnswer());
        return;
      }
      Optional<BatchCall> call = decode(message);
      if (call.isEmpty()) {
        // Closing the connection instead would leave the outcome of all its calls unknown.
        CallAnswer refused = new CallAnswer.Refused(RefusalCause.UNSUPPORTED, RETRY_AFTER_MILLIS);
        context.writeAndFlush(encode(message.getCall(), refused));
        return;
      }
      port.call(
          call.get(),
          FORWARDED_CALL_TIMEOUT,
          answer -> context.writeAndFlush(encode(message.getCall(), answer)));
    }

    private static Optional<BatchCall> decode(ForwardedCall message) {
      try {
        return Optional.of(CallCodec.decode(message));
      } catch (IllegalArgumentException e) {
        EventLog.warn(LOGGER, BatchNetEvent.CALL_UNKNOWN, message.getCall(), e.getMessage());
        return Optional.empty();
      }
    }

    /**
     * Encodes an answer. A refusal carries the owner that this VM knows, since the calling VM may
     * be unable to read the current owner from the store.
     */
    private ForwardedAnswer encode(long number, CallAnswer answer) {
      ForwardedAnswer message = CallCodec.encode(number, answer);
      Optional<OwnerHint> known = hints.known();
      if (answer instanceof CallAnswer.Refused && known.isPresent()) {
        return message.toBuilder().setOwner(CallCodec.encode(known.get())).build();
      }
      return message;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      EventLog.warn(
          LOGGER, BatchNetEvent.PEER_FAULT, context.channel().remoteAddress(), cause.getMessage());
      context.close();
    }
  }
}
