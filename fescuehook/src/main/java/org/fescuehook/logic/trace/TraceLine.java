package org.fescuehook.logic.trace;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A line of a trace. It consists of plain words, followed by fields of the form {@code name=value}.
 */
final class TraceLine {

  private final String file;
  private final int number;
  private final List<String> words = new ArrayList<>();
  private final Map<String, String> fields = new LinkedHashMap<>();
  private final Set<String> readFields = new HashSet<>();

  TraceLine(String file, int number, String text) throws TraceFormatException {
    this.file = file;
    this.number = number;
    for (String token : text.strip().split("\\s+")) {
      add(token);
    }
  }

  private void add(String token) throws TraceFormatException {
    int equals = token.indexOf('=');
    if (equals < 0) {
      words.add(token);
      return;
    }
    String name = token.substring(0, equals);
    if (fields.put(name, token.substring(equals + 1)) != null) {
      throw error(name, "stands twice");
    }
  }

  TraceFormatException error(String field, String problem) {
    return new TraceFormatException(file, number, field, problem);
  }

  /** Returns the word at a position, counted from 0. */
  String word(int position, String meaning) throws TraceFormatException {
    if (position >= words.size()) {
      throw error(meaning, "is missing");
    }
    return words.get(position);
  }

  /** Tells whether the line contains a plain word. */
  boolean hasWord(String word) {
    return words.contains(word);
  }

  Optional<String> optional(String name) {
    readFields.add(name);
    return Optional.ofNullable(fields.get(name));
  }

  String text(String name) throws TraceFormatException {
    return optional(name).filter(v -> !v.isEmpty()).orElseThrow(() -> error(name, "is missing"));
  }

  long number(String name, long least, long most) throws TraceFormatException {
    return parse(name, text(name), least, most);
  }

  int integer(String name, int least) throws TraceFormatException {
    return (int) number(name, least, Integer.MAX_VALUE);
  }

  long parse(String name, String value, long least, long most) throws TraceFormatException {
    long parsed;
    try {
      parsed = Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw error(name, "'" + value + "' is not a whole number");
    }
    if (parsed < least || parsed > most) {
      throw error(name, value + " is not between " + least + " and " + most);
    }
    return parsed;
  }

  double decimal(String name, double least, double most) throws TraceFormatException {
    return parseDecimal(name, text(name), least, most);
  }

  double parseDecimal(String name, String value, double least, double most)
      throws TraceFormatException {
    double parsed;
    try {
      parsed = Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw error(name, "'" + value + "' is not a number");
    }
    if (!(parsed >= least && parsed <= most)) {
      throw error(name, value + " is not between " + least + " and " + most);
    }
    return parsed;
  }

  boolean flag(String name) throws TraceFormatException {
    String value = text(name);
    return switch (value) {
      case "true" -> true;
      case "false" -> false;
      default -> throw error(name, "'" + value + "' is neither true nor false");
    };
  }

  /** Returns the two ends of a range {@code a..b}. */
  String[] range(String name) throws TraceFormatException {
    String[] ends = text(name).split("\\.\\.", -1);
    if (ends.length != 2) {
      throw error(name, "is not a range a..b");
    }
    return ends;
  }

  /** Checks that the line has no further words and no fields that were not read. */
  void requireEnd(int wordCount) throws TraceFormatException {
    if (words.size() > wordCount) {
      throw error(words.get(wordCount), "is one word too many");
    }
    for (String name : fields.keySet()) {
      if (!readFields.contains(name)) {
        throw error(name, "is not known here");
      }
    }
  }
}
