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
 * Blocks until an item arrives or a timeout expires that can differ from wait to wait. The
 * Disruptor library's own strategy has a fixed timeout, with which a duty that has nothing
 * scheduled would wake as often as one that must renew leases.
 */
final class VariableTimeoutWaitStrategy implements WaitStrategy {

  private final Object mutex = new Object();
  private final Supplier<Duration> timeout;

  /**
   * Creates a strategy.
   *
   * @param timeout returns the next timeout; called by the duty's thread before each wait
   */
  VariableTimeoutWaitStrategy(Supplier<Duration> timeout) {
    this.timeout = timeout;
  }

  @Override
  public long waitFor(long sequence, Sequence cursor, Sequence dependent, SequenceBarrier barrier)
      throws AlertException, InterruptedException, TimeoutException {
    long remainingNanos = timeout.get().toNanos();
    synchronized (mutex) {
      while (cursor.get() < sequence) {
        barrier.checkAlert();
        remainingNanos = Util.awaitNanos(mutex, remainingNanos);
        if (remainingNanos <= 0) {
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
