package org.fescuehook.logic.ini;

import java.util.function.Function;

/**
 * Type of a value: how it is read, written and described.
 *
 * @param accepted accepted input, for messages and the documentation
 * @param reader reads a value from text
 * @param writer writes a value as text that the reader accepts
 * @param confidential whether messages hide the value
 */
public record ValueType<T>(
    String accepted, Reader<T> reader, Function<T, String> writer, boolean confidential) {

  private static final String HIDDEN = "***";

  /** Creates a type whose values are shown in messages. */
  public ValueType(String accepted, Reader<T> reader, Function<T, String> writer) {
    this(accepted, reader, writer, false);
  }

  /** Returns the text as shown in messages. */
  public String shown(String text) {
    return confidential && !text.isEmpty() ? HIDDEN : text;
  }

  /** Reads values. */
  @FunctionalInterface
  public interface Reader<T> {

    /**
     * Reads a value.
     *
     * @throws MalformedValueException if the text is no value of this type
     */
    T read(String text) throws MalformedValueException;
  }
}
