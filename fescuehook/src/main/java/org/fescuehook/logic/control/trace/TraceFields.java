package org.fescuehook.logic.control.trace;

import java.util.Base64;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;

/** Reads the fields of one line of a trace, which are separated by single spaces. */
final class TraceFields {
  private static final String EMPTY = "%";

  private final long line;
  private final Iterator<String> fields;

  TraceFields(long line, String text) {
    this.line = line;
    this.fields = List.of(text.split(" ", -1)).iterator();
  }

  /** Encodes text so that it contains no space and is not empty. */
  static String encode(String text) {
    return text.isEmpty() ? EMPTY : PercentCodec.encode(text);
  }

  static String encode(byte[] data) {
    return data.length == 0 ? EMPTY : Base64.getEncoder().encodeToString(data);
  }

  static String word(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  InvalidTraceException fault(String field, String fault) {
    return new InvalidTraceException(line, field, fault);
  }

  private String raw(String field) throws InvalidTraceException {
    if (!fields.hasNext()) {
      throw fault(field, "missing");
    }
    String text = fields.next();
    if (text.isEmpty()) {
      throw fault(field, "empty");
    }
    return text;
  }

  String word(String field) throws InvalidTraceException {
    return raw(field);
  }

  String text(String field) throws InvalidTraceException {
    String text = raw(field);
    if (text.equals(EMPTY)) {
      return "";
    }
    try {
      return PercentCodec.decode(text);
    } catch (IllegalArgumentException e) {
      throw fault(field, "is not percent-encoded");
    }
  }

  long number(String field) throws InvalidTraceException {
    try {
      return Long.parseLong(raw(field));
    } catch (NumberFormatException e) {
      throw fault(field, "is no whole number");
    }
  }

  int intNumber(String field) throws InvalidTraceException {
    long number = number(field);
    if (number != (int) number) {
      throw fault(field, "is out of range");
    }
    return (int) number;
  }

  int count(String field) throws InvalidTraceException {
    int count = intNumber(field);
    if (count < 0) {
      throw fault(field, "is negative");
    }
    return count;
  }

  boolean flag(String field) throws InvalidTraceException {
    return switch (raw(field)) {
      case "true" -> true;
      case "false" -> false;
      default -> throw fault(field, "is neither true nor false");
    };
  }

  byte[] bytes(String field) throws InvalidTraceException {
    String text = raw(field);
    if (text.equals(EMPTY)) {
      return new byte[0];
    }
    try {
      return Base64.getDecoder().decode(text);
    } catch (IllegalArgumentException e) {
      throw fault(field, "is no base64");
    }
  }

  <E extends Enum<E>> E value(String field, Class<E> type) throws InvalidTraceException {
    String text = raw(field);
    for (E value : type.getEnumConstants()) {
      if (word(value).equals(text)) {
        return value;
      }
    }
    throw fault(field, "is no " + type.getSimpleName());
  }

  void end() throws InvalidTraceException {
    if (fields.hasNext()) {
      throw fault("end of line", "more fields than expected");
    }
  }
}
