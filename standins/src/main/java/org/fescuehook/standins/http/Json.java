package org.fescuehook.standins.http;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Reads and writes JSON bodies. Unknown fields are rejected, absent collections are empty. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .defaultSetterInfo(JsonSetter.Value.forValueNulls(Nulls.AS_EMPTY))
          .build();

  private Json() {}

  /** Parses a body. */
  public static <T> T read(byte[] body, Class<T> type) throws IOException {
    return MAPPER.readValue(body, type);
  }

  /** Converts a parsed JSON tree. */
  public static <T> T convert(JsonNode tree, Class<T> type) throws JsonProcessingException {
    return MAPPER.treeToValue(tree, type);
  }

  /** Serialises a value as JSON. */
  public static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be written as JSON: " + value, e);
    }
  }
}
