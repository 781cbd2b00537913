package org.fescuehook.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Parses and writes the JSON of the platform's messages. */
final class WireJson {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private WireJson() {}

  /**
   * Parses a JSON object.
   *
   * @throws MalformedMessageException if the bytes are not one JSON object
   */
  static JsonNode parse(byte[] body) throws MalformedMessageException {
    JsonNode node;
    try {
      node = MAPPER.readTree(body);
    } catch (IOException e) {
      throw new MalformedMessageException("is not JSON: " + firstLine(e.getMessage()), e);
    }
    if (node == null || !node.isObject()) {
      throw new MalformedMessageException("is not a JSON object");
    }
    return node;
  }

  private static String firstLine(String text) {
    return text.lines().findFirst().orElse("");
  }

  static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  static byte[] write(ObjectNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of plain values can always be written", e);
    }
  }
}
