package org.fescuehook.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reads typed fields of a JSON object. Values are never converted; a field that is missing or has
 * another type causes an exception that names the field.
 *
 * @param subject what the object describes, for messages
 * @param object the object
 */
record WireFields(String subject, JsonNode object) {

  private static final double MAX_SECONDS = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;

  /**
   * Returns a string that is not blank.
   *
   * @throws MalformedMessageException if the field is missing, blank or not a string
   */
  String text(String field) throws MalformedMessageException {
    JsonNode value = object.path(field);
    if (!value.isTextual() || value.textValue().isBlank()) {
      throw fault(field, "a text");
    }
    return value.textValue();
  }

  /**
   * Returns a non-negative integer.
   *
   * @throws MalformedMessageException if the field is missing, negative, too large or no whole
   *     number
   */
  int count(String field) throws MalformedMessageException {
    JsonNode value = object.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 0) {
      throw fault(field, "a count");
    }
    return value.intValue();
  }

  /**
   * Returns a non-negative integer of up to 63 bits.
   *
   * @throws MalformedMessageException if the field is missing, negative, too large or no whole
   *     number
   */
  long number(String field) throws MalformedMessageException {
    JsonNode value = object.path(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < 0) {
      throw fault(field, "a whole number from 0 on");
    }
    return value.longValue();
  }

  /**
   * Returns a non-negative integer; absent if the field is missing.
   *
   * @throws MalformedMessageException if the field is present but not such a number
   */
  OptionalLong numberIfPresent(String field) throws MalformedMessageException {
    return object.has(field) ? OptionalLong.of(number(field)) : OptionalLong.empty();
  }

  /**
   * Returns a duration in milliseconds; a fraction is dropped.
   *
   * @throws MalformedMessageException if the field is missing, negative, too large or no number
   */
  long millis(String field) throws MalformedMessageException {
    JsonNode value = object.path(field);
    if (!value.isNumber() || !value.canConvertToLong() || value.longValue() < 0) {
      throw fault(field, "a duration in milliseconds");
    }
    return value.longValue();
  }

  /**
   * Returns a duration given in seconds.
   *
   * @throws MalformedMessageException if the field is missing, negative, too large or no number
   */
  Duration seconds(String field) throws MalformedMessageException {
    JsonNode value = object.path(field);
    double seconds = value.doubleValue();
    if (!value.isNumber() || !(seconds >= 0) || seconds > MAX_SECONDS) {
      throw fault(field, "a duration in seconds");
    }
    return Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
  }

  /**
   * Returns a number above 0.
   *
   * @throws MalformedMessageException if the field is missing, 0, negative or no number
   */
  double positive(String field) throws MalformedMessageException {
    JsonNode value = object.path(field);
    if (!value.isNumber() || !(value.doubleValue() > 0)) {
      throw fault(field, "a number above 0");
    }
    return value.doubleValue();
  }

  /**
   * Returns a boolean; false if the field is missing.
   *
   * @throws MalformedMessageException if the field is of another type
   */
  boolean flag(String field) throws MalformedMessageException {
    if (has(field) && !object.path(field).isBoolean()) {
      throw fault(field, "true or false");
    }
    return object.path(field).booleanValue();
  }

  /** Returns whether the object has a field of any type that is not null. */
  boolean has(String field) {
    return object.hasNonNull(field);
  }

  /**
   * Returns the objects of a list.
   *
   * @throws MalformedMessageException if the field is missing or not a list of objects
   */
  List<WireFields> objects(String field) throws MalformedMessageException {
    JsonNode list = object.path(field);
    if (!list.isArray()) {
      throw fault(field, "a list of objects");
    }
    List<WireFields> objects = new ArrayList<>();
    for (JsonNode value : list) {
      if (!value.isObject()) {
        throw fault(field, "a list of objects");
      }
      objects.add(new WireFields(subject + ", " + field, value));
    }
    return objects;
  }

  /**
   * Returns the fields of a nested object; absent if the field is missing.
   *
   * @throws MalformedMessageException if the field is not an object
   */
  Optional<WireFields> innerIfPresent(String field) throws MalformedMessageException {
    return has(field) ? Optional.of(inner(field)) : Optional.empty();
  }

  /**
   * Returns a list of strings that are not blank.
   *
   * @throws MalformedMessageException if the field is missing or not such a list
   */
  List<String> texts(String field) throws MalformedMessageException {
    JsonNode list = object.path(field);
    List<String> texts = new ArrayList<>();
    for (JsonNode value : list) {
      if (!value.isTextual() || value.textValue().isBlank()) {
        throw fault(field, "a list of texts");
      }
      texts.add(value.textValue());
    }
    if (!list.isArray()) {
      throw fault(field, "a list of texts");
    }
    return texts;
  }

  /**
   * Returns the fields of a nested object.
   *
   * @throws MalformedMessageException if the field is missing or not an object
   */
  WireFields inner(String field) throws MalformedMessageException {
    JsonNode value = object.path(field);
    if (!value.isObject()) {
      throw fault(field, "an object");
    }
    return new WireFields(subject + ", " + field, value);
  }

  private MalformedMessageException fault(String field, String expected) {
    return new MalformedMessageException("%s: '%s' is not %s".formatted(subject, field, expected));
  }
}
