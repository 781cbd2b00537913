package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchCommand;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ExecutorProbeTest {

  private static final long TIMEOUT_SECONDS = 20;

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<Set<InetSocketAddress>> outcomes = new ArrayBlockingQueue<>(1);

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private Set<InetSocketAddress> probe(InetSocketAddress... addresses) throws InterruptedException {
    ExecutorProbe probe =
        new ExecutorProbe(loops.next(), (number, reached) -> outcomes.add(reached));
    probe.probe(new BatchCommand.ProbeExecutors(1, List.of(addresses)));
    return outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
  }

  private static InetSocketAddress address(ServerSocket listener) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
  }

  @Test
  void anExecutorThatAcceptsConnectionsIsReachedAndOneThatRefusesThemIsNot()
      throws IOException, InterruptedException {
    try (ServerSocket open = listen()) {
      InetSocketAddress closed;
      try (ServerSocket listener = listen()) {
        closed = address(listener);
      }
      assertEquals(Set.of(address(open)), probe(address(open), closed));
    }
  }
}
