package org.fescuehook.standins.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Loses a share of what passes a connection, in both directions. As with TCP, what is lost is sent
 * again after a time that doubles, and what follows waits behind it; it is gone for good if the
 * connection is closed before, or the process of the server is replaced, which resets the
 * connection.
 */
final class LossHandler extends ChannelDuplexHandler {

  private static final int PERCENT = 100;

  /** Least retransmission timeout of Linux. */
  private static final long FIRST_TIMEOUT_MILLIS = 200;

  private final IntSupplier lossPercent;
  private final IntSupplier process;
  private final Deque<Object> heldReads = new ArrayDeque<>();
  private final Deque<HeldWrite> heldWrites = new ArrayDeque<>();

  private record HeldWrite(Object message, ChannelPromise promise) {}

  /**
   * Creates a handler.
   *
   * @param lossPercent is asked for the share whenever something passes
   * @param process is asked for the number of the process that serves
   */
  LossHandler(IntSupplier lossPercent, IntSupplier process) {
    this.lossPercent = lossPercent;
    this.process = process;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (heldReads.isEmpty() && !isLost()) {
      context.fireChannelRead(message);
      return;
    }
    heldReads.add(message);
    if (heldReads.size() == 1) {
      retryReads(context, FIRST_TIMEOUT_MILLIS, process.getAsInt());
    }
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (heldWrites.isEmpty() && !isLost()) {
      context.write(message, promise);
      return;
    }
    heldWrites.add(new HeldWrite(message, promise));
    if (heldWrites.size() == 1) {
      retryWrites(context, FIRST_TIMEOUT_MILLIS);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    heldReads.forEach(ReferenceCountUtil::release);
    heldReads.clear();
    heldWrites.forEach(held -> ReferenceCountUtil.release(held.message));
    heldWrites.clear();
    context.fireChannelInactive();
  }

  private boolean isLost() {
    int percent = lossPercent.getAsInt();
    return percent > 0 && ThreadLocalRandom.current().nextInt(PERCENT) < percent;
  }

  private void retryReads(ChannelHandlerContext context, long afterMillis, int sentTo) {
    context
        .executor()
        .schedule(
            () -> {
              if (isLost() && !heldReads.isEmpty()) {
                retryReads(context, 2 * afterMillis, sentTo);
                return;
              }
              if (process.getAsInt() != sentTo) {
                context.close();
                return;
              }
              while (!heldReads.isEmpty()) {
                context.fireChannelRead(heldReads.remove());
              }
              context.fireChannelReadComplete();
            },
            afterMillis,
            TimeUnit.MILLISECONDS);
  }

  private void retryWrites(ChannelHandlerContext context, long afterMillis) {
    context
        .executor()
        .schedule(
            () -> {
              if (isLost() && !heldWrites.isEmpty()) {
                retryWrites(context, 2 * afterMillis);
                return;
              }
              while (!heldWrites.isEmpty()) {
                HeldWrite held = heldWrites.remove();
                context.write(held.message, held.promise);
              }
              context.flush();
            },
            afterMillis,
            TimeUnit.MILLISECONDS);
  }
}
