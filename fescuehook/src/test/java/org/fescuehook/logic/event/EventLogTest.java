package org.fescuehook.logic.event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.read.ListAppender;
import java.nio.charset.StandardCharsets;
import org.fescuehook.model.event.NumberedEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class EventLogTest {

  private enum Sample implements NumberedEvent {
    LEASE_LOST;

    @Override
    public int number() {
      return 9001;
    }

    @Override
    public String format() {
      return "lost lease {} of {}";
    }
  }

  private final Logger logger = (Logger) LoggerFactory.getLogger(EventLogTest.class);
  private final ListAppender<ILoggingEvent> captured = new ListAppender<>();

  @BeforeEach
  void capture() {
    captured.start();
    logger.addAppender(captured);
    logger.setAdditive(false);
    logger.setLevel(Level.INFO);
  }

  @AfterEach
  void release() {
    logger.detachAppender(captured);
  }

  @Test
  void lineCarriesLevelNumberAndMessage() {
    EventLog.warn(logger, Sample.LEASE_LOST, "a", "w1");

    assertTrue(
        line().endsWith("WARN  [main] EventLogTest event=9001 lost lease a of w1\n"), line());
  }

  @Test
  void eventWithLineBreaksAndTraceIsOneLine() {
    EventLog.error(
        logger, Sample.LEASE_LOST, "a\nb", "w1", new IllegalStateException("broken\npipe"));

    assertTrue(
        line()
            .contains(
                "lost lease a | b of w1 | java.lang.IllegalStateException: broken | pipe | at"),
        line());
    assertEquals(1, line().lines().count(), line());
  }

  private String line() {
    Logger root = (Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME);
    ConsoleAppender<ILoggingEvent> stderr =
        (ConsoleAppender<ILoggingEvent>) root.getAppender("stderr");
    return new String(stderr.getEncoder().encode(captured.list.getFirst()), StandardCharsets.UTF_8);
  }
}
