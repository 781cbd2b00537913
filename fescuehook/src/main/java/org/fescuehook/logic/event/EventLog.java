package org.fescuehook.logic.event;

import org.fescuehook.model.event.NumberedEvent;
import org.slf4j.Logger;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs numbered events. The number is logged as the key-value pair {@code event}. The arguments
 * fill the placeholders of the event's format in order; a {@link Throwable} after the last of them
 * is logged with its stack trace.
 */
public final class EventLog {

  /** Key under which the number of an event is logged. */
  public static final String NUMBER_KEY = "event";

  private EventLog() {}

  /** Logs an event that serves debugging only. */
  public static void debug(Logger logger, NumberedEvent event, Object... arguments) {
    write(logger.atDebug(), event, arguments);
  }

  /** Logs an event of normal operation. */
  public static void info(Logger logger, NumberedEvent event, Object... arguments) {
    write(logger.atInfo(), event, arguments);
  }

  /** Logs an event that the process handles but that operators should know about. */
  public static void warn(Logger logger, NumberedEvent event, Object... arguments) {
    write(logger.atWarn(), event, arguments);
  }

  /** Logs an event that requires an operator to act. */
  public static void error(Logger logger, NumberedEvent event, Object... arguments) {
    write(logger.atError(), event, arguments);
  }

  private static void write(LoggingEventBuilder builder, NumberedEvent event, Object... arguments) {
    builder.addKeyValue(NUMBER_KEY, event.number()).log(event.format(), arguments);
  }
}
