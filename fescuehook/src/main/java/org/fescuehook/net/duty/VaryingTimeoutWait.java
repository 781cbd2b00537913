package org.fescuehook.net.duty;

import com.lmax.disruptor.AlertException;
import com.lmax.disruptor.Sequence;
import com.lmax.disruptor.SequenceBarrier;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.WaitStrategy;
import com.lmax.disruptor.util.Util;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * Blocks until an item comes, or for as long as the duty has nothing to do by itself. The library's
 * own strategy has one timeout for good, so that a thread that waits for nothing wakes as often as
 * one that keeps leases.
 */
final class VaryingTimeoutWait implements WaitStrategy {

  private final Object mutex = new Object();
  private final Supplier<Duration> timeout;

  /**
   * Creates a strategy.
   *
   * @param timeout asked by the duty's thread before each wait
   */
  VaryingTimeoutWait(Supplier<Duration> timeout) {
    this.timeout = timeout;
  }

  @Override
  public long waitFor(long sequence, Sequence cursor, Sequence dependent, SequenceBarrier barrier)
      throws AlertException, InterruptedException, TimeoutException {
    long left = timeout.get().toNanos();
    synchronized (mutex) {
      while (cursor.get() < sequence) {
        barrier.checkAlert();
        left = Util.awaitNanos(mutex, left);
        if (left <= 0) {
          throw TimeoutException.INSTANCE;
        }
      }
    }
    return dependent.get();
  }

  @Override
  public void signalAllWhenBlocking() {
    synchronized (mutex) {
      mutex.notifyAll();
    }
  }
}
