package org.fescuehook.model.fleet;

/**
 * Name of an executor.
 *
 * @param value the name, not blank
 */
public record ExecutorId(String value) implements Comparable<ExecutorId> {

  /** Checks that the name is not blank. */
  public ExecutorId {
    if (value.isBlank()) {
      throw new IllegalArgumentException("blank ExecutorId");
    }
  }

  @Override
  public int compareTo(ExecutorId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
