package org.fescuehook.logic.ini;

import java.util.Optional;

/**
 * A key that a section may have.
 *
 * @param section kind of the section
 * @param name name of the key
 * @param type type of its value
 * @param fallback default value; empty if the key is required
 * @param example a value that the type accepts, for the documentation
 * @param meaning what the key means, for the documentation
 */
public record Key<T>(
    String section,
    String name,
    ValueType<T> type,
    Optional<T> fallback,
    String example,
    String meaning) {

  /** Creates a required key. */
  public static <T> Key<T> required(
      String section, String name, ValueType<T> type, String example, String meaning) {
    return new Key<>(section, name, type, Optional.empty(), example, meaning);
  }

  /** Creates an optional key with a default value. */
  public static <T> Key<T> optional(
      String section, String name, ValueType<T> type, T fallback, String meaning) {
    String example = type.writer().apply(fallback);
    return new Key<>(section, name, type, Optional.of(fallback), example, meaning);
  }

  /** Returns the default value as text; empty if the key is required. */
  public Optional<String> fallbackText() {
    return fallback.map(type.writer());
  }
}
