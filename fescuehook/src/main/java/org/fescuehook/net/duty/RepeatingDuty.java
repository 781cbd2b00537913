package org.fescuehook.net.duty;

import java.time.Duration;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.fescuehook.logic.event.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a step repeatedly on its own thread, with a pause after each run as the step returns it. */
public final class RepeatingDuty {

  private static final Logger LOGGER = LoggerFactory.getLogger(RepeatingDuty.class);
  private static final Duration PAUSE_AFTER_FAULT = Duration.ofSeconds(1);

  private final Step step;
  private final Thread thread;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private boolean stopping;
  private boolean woken;

  /** Creates a duty that has not started. */
  public RepeatingDuty(String name, Step step) {
    this.step = step;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Asks the thread to stop: ends a pause and interrupts a step in progress. */
  public void stop() {
    lock.lock();
    try {
      stopping = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    thread.interrupt();
  }

  /** Ends the current pause, or the next one if a step is in progress. */
  public void wake() {
    lock.lock();
    try {
      woken = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  private void run() {
    while (!stopping()) {
      pause(runStep());
    }
  }

  private Duration runStep() {
    try {
      return step.run();
    } catch (RuntimeException e) {
      EventLog.error(LOGGER, DutyEvent.STEP_FAULT, thread.getName(), e);
      return PAUSE_AFTER_FAULT;
    }
  }

  private boolean stopping() {
    lock.lock();
    try {
      return stopping;
    } finally {
      lock.unlock();
    }
  }

  private void pause(Duration duration) {
    long remainingNanos = duration.toNanos();
    lock.lock();
    try {
      while (!stopping && !woken && remainingNanos > 0) {
        remainingNanos = changed.awaitNanos(remainingNanos);
      }
      woken = false;
    } catch (InterruptedException e) {
      // Only stop() interrupts this thread, and the loop checks the flag that it sets.
      Thread.currentThread().interrupt();
    } finally {
      lock.unlock();
    }
  }

  /** One step of a duty. */
  @FunctionalInterface
  public interface Step {

    /** Runs the step and returns the pause before the next one. */
    Duration run();
  }
}
