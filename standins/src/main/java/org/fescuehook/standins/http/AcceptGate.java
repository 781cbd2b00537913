package org.fescuehook.standins.http;

import io.netty.channel.Channel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Makes connection attempts to a listener time out, as if the network lost them. Linux drops them
 * while the queue of connections that wait to be accepted is full, so the gate accepts nothing and
 * fills the queue with connections of its own.
 */
final class AcceptGate {

  private static final int PERCENT = 100;

  /** Range of the time after which a gate that loses some attempts opens or shuts anew. */
  private static final long MIN_WINDOW_MILLIS = 100;

  private static final long MAX_WINDOW_MILLIS = 400;

  private final Channel listener;
  private final int backlog;
  private final List<SocketChannel> fillers = new ArrayList<>();
  private int generation;

  /** Creates an open gate; {@code backlog} is that of the listener. */
  AcceptGate(Channel listener, int backlog) {
    this.listener = listener;
    this.backlog = backlog;
    listener.closeFuture().addListener(closed -> closeFillers());
  }

  /** Makes a share of the connection attempts time out from now on. */
  void lose(int percent) {
    listener
        .eventLoop()
        .execute(
            () -> {
              generation++;
              beginWindow(percent, generation);
            });
  }

  private void beginWindow(int percent, int drawnIn) {
    if (drawnIn != generation || !listener.isOpen()) {
      return;
    }
    ThreadLocalRandom random = ThreadLocalRandom.current();
    if (random.nextInt(PERCENT) < percent) {
      shut();
    } else {
      open();
    }
    if (percent > 0 && percent < PERCENT) {
      long lasting = random.nextLong(MIN_WINDOW_MILLIS, MAX_WINDOW_MILLIS);
      listener
          .eventLoop()
          .schedule(() -> beginWindow(percent, drawnIn), lasting, TimeUnit.MILLISECONDS);
    }
  }

  private void shut() {
    if (!fillers.isEmpty()) {
      return;
    }
    listener.config().setAutoRead(false);
    try {
      // The queue of Linux holds one connection more than its backlog.
      for (int i = 0; i <= backlog; i++) {
        SocketChannel filler = SocketChannel.open();
        fillers.add(filler);
        filler.configureBlocking(false);
        // Ends by a reset, which leaves no port in TIME_WAIT.
        filler.setOption(StandardSocketOptions.SO_LINGER, 0);
        filler.connect(listener.localAddress());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void open() {
    closeFillers();
    listener.config().setAutoRead(true);
  }

  private void closeFillers() {
    for (SocketChannel filler : fillers) {
      try {
        filler.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
    fillers.clear();
  }
}
