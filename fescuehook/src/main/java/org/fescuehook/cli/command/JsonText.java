package org.fescuehook.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Formats a JSON document for a terminal: scalars as lines, lists of objects as tables. */
final class JsonText {

  private static final String INDENT = "  ";
  private static final String EMPTY = "none";

  /** Fields in responses of an entry VM that hold milliseconds since 1970; 0 means unknown. */
  private static final Set<String> TIME_FIELDS =
      Set.of("submitted", "planned", "ended", "since", "until", "expectedStart", "asOf");

  private final StringBuilder text = new StringBuilder();

  /** Returns the document as lines of text. */
  static String write(JsonNode document) {
    JsonText writer = new JsonText();
    writer.writeObject(document, "");
    return writer.text.toString();
  }

  private void writeObject(JsonNode object, String indent) {
    for (Map.Entry<String, JsonNode> field : object.properties()) {
      writeField(field.getKey(), field.getValue(), indent);
    }
  }

  private void writeField(String name, JsonNode value, String indent) {
    text.append(indent).append(words(name)).append(':');
    if (value.isObject() && !value.isEmpty()) {
      text.append('\n');
      writeObject(value, indent + INDENT);
    } else if (isTable(value)) {
      text.append('\n');
      writeTable(value, indent + INDENT);
    } else {
      text.append(' ').append(cell(name, value)).append('\n');
    }
  }

  private static boolean isTable(JsonNode value) {
    return value.isArray() && !value.isEmpty() && value.get(0).isObject();
  }

  private void writeTable(JsonNode rows, String indent) {
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
    List<List<String>> lines = new ArrayList<>();
    lines.add(columns.stream().map(name -> words(name).toUpperCase(Locale.ROOT)).toList());
    for (JsonNode row : rows) {
      lines.add(columns.stream().map(name -> cell(name, row.path(name))).toList());
    }
    int[] widths = widths(lines, columns.size());
    for (List<String> line : lines) {
      text.append(indent).append(align(line, widths).stripTrailing()).append('\n');
    }
  }

  private static int[] widths(List<List<String>> lines, int columns) {
    int[] widths = new int[columns];
    for (List<String> line : lines) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], line.get(i).length());
      }
    }
    return widths;
  }

  private static String align(List<String> line, int[] widths) {
    StringBuilder aligned = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      aligned.append(line.get(i)).append(" ".repeat(widths[i] - line.get(i).length() + 2));
    }
    return aligned.toString();
  }

  private static String cell(String name, JsonNode value) {
    if (value.isMissingNode() || value.isNull() || (value.isContainerNode() && value.isEmpty())) {
      return EMPTY;
    }
    if (value.isArray()) {
      List<String> parts = new ArrayList<>();
      value.forEach(part -> parts.add(cell(name, part)));
      return String.join(", ", parts);
    }
    if (value.isObject()) {
      return printable(value.toString());
    }
    if (value.isIntegralNumber() && isTime(name)) {
      return value.asLong() == 0 ? "not known" : Instant.ofEpochMilli(value.asLong()).toString();
    }
    return printable(value.asText());
  }

  private static boolean isTime(String name) {
    return name.endsWith("Millis") || TIME_FIELDS.contains(name);
  }

  /** Splits a JSON name into words, such as {@code inFlight} into {@code in flight}. */
  private static String words(String name) {
    String bare = name.replaceFirst("Millis$", "");
    return printable(bare.replaceAll("([a-z0-9])([A-Z])", "$1 $2").toLowerCase(Locale.ROOT));
  }

  /** Replaces control characters, which a terminal would interpret as commands. */
  private static String printable(String value) {
    return value.replaceAll("\\p{Cntrl}", "?");
  }
}
