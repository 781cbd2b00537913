package org.fescuehook.entry.scheduler;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.fescuehook.logic.batch.BatchLogEvent;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.model.event.NumberedEvent;
import org.slf4j.event.KeyValuePair;

/** Priority of a log line, which decides what is dropped while the queue fills up. */
enum LinePriority {
  /** Normal operation, such as answered calls, connections and lines of libraries. */
  ORDINARY(50),
  /** The state of one executor. A take-over logs such a line for every executor. */
  EXECUTOR(75),
  /** A decision about a job or about ownership. */
  DECISION(100),
  /** Any line above level INFO. */
  TROUBLE(100);

  private static final int FIRST_BATCH_EVENT = 8000;
  private static final int LAST_BATCH_EVENT = 8099;

  private static final Set<Integer> EXECUTOR_EVENTS =
      Stream.of(
              BatchLogEvent.EXECUTOR_REACHED,
              BatchLogEvent.EXECUTOR_SILENT,
              BatchLogEvent.EXECUTOR_LEAVING,
              BatchLogEvent.EXECUTOR_GONE,
              BatchLogEvent.EXECUTOR_RESTED,
              BatchLogEvent.WORK_PACED,
              BatchLogEvent.EXECUTOR_FORGOTTEN)
          .map(NumberedEvent::number)
          .collect(Collectors.toUnmodifiableSet());

  private final int capacityPercent;

  LinePriority(int capacityPercent) {
    this.capacityPercent = capacityPercent;
  }

  static LinePriority of(ILoggingEvent event) {
    if (event.getLevel().toInt() > Level.INFO_INT) {
      return TROUBLE;
    }
    int number = number(event);
    if (number < FIRST_BATCH_EVENT || number > LAST_BATCH_EVENT) {
      return ORDINARY;
    }
    return EXECUTOR_EVENTS.contains(number) ? EXECUTOR : DECISION;
  }

  private static int number(ILoggingEvent event) {
    List<KeyValuePair> pairs = event.getKeyValuePairs();
    if (pairs == null) {
      return 0;
    }
    for (KeyValuePair pair : pairs) {
      if (pair.key.equals(EventLog.NUMBER_KEY) && pair.value instanceof Integer number) {
        return number;
      }
    }
    return 0;
  }

  /** Returns the number of queued lines from which on a line of this priority is dropped. */
  int limit(int capacity) {
    return (int) ((long) capacity * capacityPercent / 100);
  }
}
