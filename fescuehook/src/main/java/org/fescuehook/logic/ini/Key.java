package org.fescuehook.logic.ini;

import java.util.Optional;

/**
 * A key that a section may have.
 *
 * @param section kind of the section
 * @param name name of the key
 * @param type type of its value
 * @param fallback value where the key is not given; empty if it has to be given
 * @param example a value that the type accepts, for documents
 * @param meaning what it means, for documents
 */
public record Key<T>(
    String section,
    String name,
    ValueType<T> type,
    Optional<T> fallback,
    String example,
    String meaning) {

  /** Returns a key that has to be given. */
  public static <T> Key<T> required(
      String section, String name, ValueType<T> type, String example, String meaning) {
    return new Key<>(section, name, type, Optional.empty(), example, meaning);
  }

  /** Returns a key with a value for where it is not given. */
  public static <T> Key<T> optional(
      String section, String name, ValueType<T> type, T fallback, String meaning) {
    String example = type.writer().apply(fallback);
    return new Key<>(section, name, type, Optional.of(fallback), example, meaning);
  }

  /** Returns the fallback as text; empty if the key has to be given. */
  public Optional<String> fallbackText() {
    return fallback.map(type.writer());
  }
}
