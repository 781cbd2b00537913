package org.fescuehook.cli.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Serializes results as indented JSON. */
final class Json {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  static String write(Object value) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("value cannot be written as JSON: " + value, e);
    }
  }
}
