package org.fescuehook.logic.story;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.fescuehook.logic.event.EventLog;

/**
 * Parses lines of the scheduler's log. Each line is a JSON object, which may follow a prefix added
 * by a log collector; the last word of the prefix is taken as the name of the VM.
 */
public final class LoggedEventParser {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Parses the event of a line; absent if the line has no numbered event, as lines of libraries.
   */
  public Optional<LoggedEvent> parse(String line) {
    return read(line).flatMap(LogLine::event);
  }

  /** Parses a line; absent if it contains no JSON object. */
  public Optional<LogLine> read(String line) {
    int begin = line.indexOf('{');
    if (begin < 0) {
      return Optional.empty();
    }
    JsonNode object;
    try {
      object = MAPPER.readTree(line.substring(begin));
    } catch (JsonProcessingException e) {
      // A truncated line, or one of another program; it is skipped.
      return Optional.empty();
    }
    String vm = lastWord(line.substring(0, begin));
    long millis = object.path("timestamp").asLong();
    long number = object.path("sequenceNumber").asLong();
    return Optional.of(new LogLine(vm, millis, number, event(object, vm, millis)));
  }

  private static Optional<LoggedEvent> event(JsonNode object, String vm, long millis) {
    for (JsonNode pair : object.path("kvpList")) {
      int number = pair.path(EventLog.NUMBER_KEY).asInt();
      if (number > 0) {
        String message = object.path("formattedMessage").asText();
        return Optional.of(new LoggedEvent(millis, vm, number, message));
      }
    }
    return Optional.empty();
  }

  private static String lastWord(String prefix) {
    String trimmed = prefix.strip();
    return trimmed.substring(trimmed.lastIndexOf(' ') + 1);
  }
}
