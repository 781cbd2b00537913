package org.fescuehook.logic.control.trace;

/** Builds one line of a trace from its fields. */
final class TraceLine {
  private final StringBuilder text = new StringBuilder();

  TraceLine(String word) {
    text.append(word);
  }

  TraceLine add(String field) {
    text.append(' ').append(TraceFields.encode(field));
    return this;
  }

  TraceLine add(long field) {
    text.append(' ').append(field);
    return this;
  }

  TraceLine add(boolean field) {
    text.append(' ').append(field);
    return this;
  }

  TraceLine add(byte[] field) {
    text.append(' ').append(TraceFields.encode(field));
    return this;
  }

  TraceLine add(Enum<?> field) {
    text.append(' ').append(TraceFields.word(field));
    return this;
  }

  /** Adds fields that are already encoded. */
  TraceLine addLine(String fields) {
    text.append(' ').append(fields);
    return this;
  }

  @Override
  public String toString() {
    return text.toString();
  }
}
