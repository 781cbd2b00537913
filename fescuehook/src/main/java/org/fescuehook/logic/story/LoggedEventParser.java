package org.fescuehook.logic.story;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.fescuehook.logic.event.EventLog;

/** Reads lines of the scheduler's log: a JSON object each, after any prefix of a log collector. */
public final class LoggedEventParser {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Reads a line; absent if it holds no numbered event, as the lines of libraries. */
  public Optional<LoggedEvent> parse(String line) {
    int begin = line.indexOf('{');
    if (begin < 0) {
      return Optional.empty();
    }
    JsonNode object;
    try {
      object = MAPPER.readTree(line.substring(begin));
    } catch (JsonProcessingException e) {
      // A line that was cut, or of another program; the story is told from the others.
      return Optional.empty();
    }
    for (JsonNode pair : object.path("kvpList")) {
      int number = pair.path(EventLog.NUMBER_KEY).asInt();
      if (number > 0) {
        return Optional.of(
            new LoggedEvent(
                object.path("timestamp").asLong(),
                lastWord(line.substring(0, begin)),
                number,
                object.path("formattedMessage").asText()));
      }
    }
    return Optional.empty();
  }

  private static String lastWord(String prefix) {
    String trimmed = prefix.strip();
    return trimmed.substring(trimmed.lastIndexOf(' ') + 1);
  }
}
