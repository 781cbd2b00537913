package org.fescuehook.net.batch;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.wire.batch.ForwardedAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connection to one owner, kept open. A call that could not be written is refused as not run; a
 * call without an answer is undecided, and ends the connection if nothing came over it meanwhile,
 * since it may have gone silent. All state belongs to one event loop.
 */
public final class CallLink implements CallPort {

  private static final Logger LOGGER = LoggerFactory.getLogger(CallLink.class);

  /** Longest time to connect; the way between failure domains takes about 1 ms. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

  /** Longest time to an answer; a slow store takes 0.3 s, and callers wait about 3 s in all. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(900);

  /** When callers come back after the owner could not be reached. */
  private static final long COME_BACK_MILLIS = 1000;

  private final EventLoop loop;
  private final InetSocketAddress owner;
  private final OwnerHints hints;
  private final Map<Long, Consumer<CallAnswer>> open = new LinkedHashMap<>();
  private final List<Unsent> unsent = new ArrayList<>();
  private Optional<Channel> channel = Optional.empty();
  private boolean connecting;
  private boolean closed;
  private long lastNumber;
  private long lastHeard;

  private record Unsent(BatchCall call, Consumer<CallAnswer> sink) {}

  /** Creates a link that connects with its first call. */
  public CallLink(EventLoop loop, InetSocketAddress owner, OwnerHints hints) {
    this.loop = loop;
    this.owner = owner;
    this.hints = hints;
  }

  @Override
  public void call(BatchCall call, Consumer<CallAnswer> sink) {
    loop.execute(() -> take(call, sink));
  }

  /**
   * Closes the connection; open calls become undecided.
   *
   * @param next the newer owner; the former one is told, as it may be cut off from the store
   */
  public void close(Optional<OwnerHint> next) {
    loop.execute(
        () -> {
          closed = true;
          channel.ifPresent(open -> leave(open, next));
          refuseUnsent();
        });
  }

  private static void leave(Channel open, Optional<OwnerHint> next) {
    if (next.isEmpty()) {
      open.close();
      return;
    }
    open.writeAndFlush(CallCodec.moved(next.get())).addListener(ChannelFutureListener.CLOSE);
  }

  private void take(BatchCall call, Consumer<CallAnswer> sink) {
    if (closed) {
      sink.accept(unreachable());
      return;
    }
    if (channel.isPresent()) {
      write(channel.get(), call, sink);
      return;
    }
    unsent.add(new Unsent(call, sink));
    if (!connecting) {
      connect();
    }
  }

  private static CallAnswer unreachable() {
    return new CallAnswer.Refused(RefusalCause.NO_OWNER, COME_BACK_MILLIS);
  }

  private void connect() {
    connecting = true;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
        .handler(new Initializer())
        .connect(owner)
        .addListener((ChannelFuture opened) -> connected(opened));
  }

  private void connected(ChannelFuture opened) {
    connecting = false;
    if (!opened.isSuccess()) {
      EventLog.warn(LOGGER, BatchNetEvent.OWNER_UNREACHABLE, owner, opened.cause().getMessage());
      refuseUnsent();
      return;
    }
    if (closed) {
      opened.channel().close();
      return;
    }
    EventLog.info(LOGGER, BatchNetEvent.OWNER_CONNECTED, owner);
    channel = Optional.of(opened.channel());
    List<Unsent> waiting = List.copyOf(unsent);
    unsent.clear();
    waiting.forEach(call -> write(opened.channel(), call.call(), call.sink()));
  }

  private void refuseUnsent() {
    List<Unsent> refused = List.copyOf(unsent);
    unsent.clear();
    refused.forEach(call -> call.sink().accept(unreachable()));
  }

  private void write(Channel to, BatchCall call, Consumer<CallAnswer> sink) {
    lastNumber++;
    long number = lastNumber;
    long sentAt = System.nanoTime();
    open.put(number, sink);
    to.writeAndFlush(CallCodec.encode(number, call));
    loop.schedule(
        () -> timedOut(to, number, sentAt), ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void timedOut(Channel to, long number, long sentAt) {
    Consumer<CallAnswer> sink = open.remove(number);
    if (sink == null) {
      return;
    }
    sink.accept(new CallAnswer.Undecided(UndecidedCause.OWNER_SILENT));
    if (lastHeard - sentAt < 0) {
      to.close();
    }
  }

  private void answered(ForwardedAnswer message) {
    lastHeard = System.nanoTime();
    if (message.hasOwner()) {
      hints.hinted(CallCodec.decode(message.getOwner()));
    }
    Consumer<CallAnswer> sink = open.remove(message.getCall());
    if (sink != null) {
      sink.accept(CallCodec.decode(message));
    }
  }

  private void lost(Channel from, String cause) {
    if (channel.filter(from::equals).isEmpty()) {
      return;
    }
    channel = Optional.empty();
    EventLog.warn(LOGGER, BatchNetEvent.OWNER_DISCONNECTED, owner, cause, open.size());
    List<Consumer<CallAnswer>> undecided = List.copyOf(open.values());
    open.clear();
    undecided.forEach(sink -> sink.accept(new CallAnswer.Undecided(UndecidedCause.OWNER_SILENT)));
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel opened) {
      CallPipeline.assemble(
          opened.pipeline(), ForwardedAnswer.getDefaultInstance(), new AnswerHandler());
    }
  }

  private final class AnswerHandler extends SimpleChannelInboundHandler<ForwardedAnswer> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ForwardedAnswer message) {
      answered(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      lost(context.channel(), "the peer closed it, or it was silent");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      lost(context.channel(), String.valueOf(cause.getMessage()));
      context.close();
    }
  }
}
