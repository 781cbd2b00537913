package org.fescuehook.standins;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Event loop group and addresses for the stand-ins of a test. */
public final class StandInLoops implements AutoCloseable {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  public EventLoopGroup group() {
    return group;
  }

  public InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  /** Waits until another thread makes a condition true; fails after 20 seconds. */
  public static void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("the awaited state was not reached");
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully();
  }
}
