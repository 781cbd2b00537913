package org.fescuehook.entry.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.joran.spi.JoranException;
import ch.qos.logback.core.spi.AppenderAttachable;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.story.LoggedEvent;
import org.fescuehook.logic.story.LoggedEventParser;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.event.Level;

/** Tests the log configuration of a VM with a standard output that is read slowly. */
class LogUnderLoadTest {

  private static final int MANY_LINES = 5000;
  private static final int LOG_LINES_DROPPED = 8310;
  private static final Pattern LOSS_REPORT =
      Pattern.compile("^(\\d+) log lines dropped, (\\d+) of them decisions");
  private static final long TIMEOUT_SECONDS = 20;

  private final LoggerContext context = new LoggerContext();
  private final LoggedEventParser parser = new LoggedEventParser();
  private final SlowPipe pipe = new SlowPipe();
  private Logger logger = context.getLogger("test");

  /** A pipe that accepts a line for each permit and blocks without one. */
  private static final class SlowPipe extends OutputStream {
    private static final int UNLIMITED = 1 << 20;

    final CountDownLatch reached = new CountDownLatch(1);
    final CountDownLatch reported = new CountDownLatch(1);
    final Semaphore written = new Semaphore(0);
    private final Semaphore allowedLines = new Semaphore(0);
    private final List<String> lines = new ArrayList<>();

    @Override
    public void write(int one) {
      throw new AssertionError("a line was not written in one call");
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
      reached.countDown();
      allowedLines.acquireUninterruptibly();
      String line = new String(bytes, offset, length, StandardCharsets.UTF_8);
      synchronized (lines) {
        lines.add(line);
      }
      if (line.contains("\"" + LOG_LINES_DROPPED + "\"")) {
        reported.countDown();
      }
      written.release();
    }

    void allowLines(int more) {
      allowedLines.release(more);
    }

    void unblock() {
      allowedLines.release(UNLIMITED);
    }

    List<String> lines() {
      synchronized (lines) {
        return List.copyOf(lines);
      }
    }
  }

  @BeforeEach
  void stall() throws JoranException, InterruptedException {
    context.setMDCAdapter(new LogbackMDCAdapter());
    JoranConfigurator configurator = new JoranConfigurator();
    configurator.setContext(context);
    configurator.doConfigure(
        LogUnderLoadTest.class.getClassLoader().getResource("logback-scheduler.xml"));
    @SuppressWarnings("unchecked")
    AppenderAttachable<ILoggingEvent> queue =
        (AppenderAttachable<ILoggingEvent>)
            context.getLogger(Logger.ROOT_LOGGER_NAME).getAppender("async");
    ((ConsoleAppender<ILoggingEvent>) queue.getAppender("stdout")).setOutputStream(pipe);
    logger = context.getLogger("test");
    callAnswered();
    assertTrue(pipe.reached.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "nothing was logged");
  }

  @AfterEach
  void release() {
    pipe.unblock();
    context.stop();
  }

  private void callAnswered() {
    EventLog.info(logger, SchedulerEvent.CALL_ANSWERED, "Submit", "j", "Refused", 1);
  }

  private void jobEnded(String job) {
    EventLog.info(logger, BatchLogEvent.JOB_ENDED, job, "CANCELLED", 1);
  }

  private void logMany(Runnable line) {
    for (int i = 0; i < MANY_LINES; i++) {
      line.run();
    }
  }

  private List<LoggedEvent> events() {
    return pipe.lines().stream().map(line -> parser.parse(line).orElseThrow()).toList();
  }

  private List<LoggedEvent> events(int number) {
    return events().stream().filter(event -> event.number() == number).toList();
  }

  private long reported(int group) {
    return events(LOG_LINES_DROPPED).stream()
        .mapToLong(
            event -> {
              Matcher matcher = LOSS_REPORT.matcher(event.message());
              assertTrue(matcher.find(), event.message());
              return Long.parseLong(matcher.group(group));
            })
        .sum();
  }

  private TreeSet<Long> numbers() throws JsonProcessingException {
    ObjectMapper mapper = new ObjectMapper();
    TreeSet<Long> numbers = new TreeSet<>();
    for (String line : pipe.lines()) {
      numbers.add(mapper.readTree(line).path("sequenceNumber").asLong());
    }
    return numbers;
  }

  /**
   * Unblocks the pipe and stops the log once all lines are written: lines are written in order, and
   * the report of the loss comes after all others. The stop itself writes only for a limited time.
   */
  private void unblockAndStop() throws InterruptedException {
    pipe.unblock();
    awaitReport();
    context.stop();
  }

  private void awaitReport() throws InterruptedException {
    assertTrue(
        pipe.reported.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "no report of dropped lines");
  }

  @Test
  void manyAnsweredCallsDropNoDecision() throws InterruptedException {
    logMany(this::callAnswered);
    jobEnded("a");
    unblockAndStop();
    assertEquals(1, events(BatchLogEvent.JOB_ENDED.number()).size());
    assertEquals(0, reported(2));
  }

  @Test
  void aLineForEachExecutorAfterATakeOverDropsNoDecision() throws InterruptedException {
    logMany(() -> EventLog.info(logger, BatchLogEvent.EXECUTOR_REACHED, "e", 0, 0, 0));
    jobEnded("a");
    unblockAndStop();
    assertEquals(1, events(BatchLogEvent.JOB_ENDED.number()).size());
  }

  @Test
  void droppedDecisionsAreCounted() throws InterruptedException {
    logMany(() -> jobEnded("a"));
    unblockAndStop();
    int kept = events(BatchLogEvent.JOB_ENDED.number()).size();
    assertTrue(kept < MANY_LINES, () -> "kept " + kept);
    assertEquals(MANY_LINES - kept, reported(2));
  }

  @Test
  void aLossIsReportedAsSoonAsTheQueueHasCapacity() throws InterruptedException {
    logMany(this::callAnswered);
    pipe.unblock();
    awaitReport();
  }

  @Test
  void gapsInSequenceNumbersMatchTheReportedLoss()
      throws JsonProcessingException, InterruptedException {
    logMany(this::callAnswered);
    unblockAndStop();
    TreeSet<Long> numbers = numbers();
    assertEquals(1, numbers.first());
    assertEquals(pipe.lines().size(), numbers.size(), "a sequence number was used twice");
    long missing = numbers.last() - numbers.size();
    assertTrue(missing > 0, "nothing was dropped");
    assertEquals(missing, reported(1));
  }

  @Test
  void theReportCountsAllDroppedLines() throws InterruptedException {
    logMany(this::callAnswered);
    unblockAndStop();
    int kept = events(SchedulerEvent.CALL_ANSWERED.number()).size();
    assertTrue(kept < MANY_LINES, () -> "kept " + kept);
    assertEquals(1 + MANY_LINES - kept, reported(1));
  }

  @Test
  void lossesDuringAPersistentOverloadAreReportedRepeatedlyButRarely() throws InterruptedException {
    logMany(this::callAnswered);
    for (int i = 0; i < MANY_LINES; i++) {
      pipe.allowLines(1);
      assertTrue(pipe.written.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS), "nothing is written");
      callAnswered();
      callAnswered();
    }
    int notices = events(LOG_LINES_DROPPED).size();
    assertTrue(notices > 1, () -> "reported " + notices + " times");
    assertTrue(notices <= 1 + MANY_LINES / 500, () -> "reported " + notices + " times");
  }

  @Test
  void eachLineIsFlushedAtOnce() throws InterruptedException {
    pipe.allowLines(1);
    assertTrue(
        pipe.written.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the line was not flushed");
  }

  @Test
  void noLossIsReportedIfNothingWasDropped() throws JsonProcessingException, InterruptedException {
    logger.atLevel(Level.WARN).log("without a number");
    jobEnded("a");
    pipe.unblock();
    assertTrue(
        pipe.written.tryAcquire(3, TIMEOUT_SECONDS, TimeUnit.SECONDS), "lines are not written");
    context.stop();
    assertEquals(3, pipe.lines().size());
    assertEquals(List.of(1L, 2L, 3L), List.copyOf(numbers()));
  }
}
