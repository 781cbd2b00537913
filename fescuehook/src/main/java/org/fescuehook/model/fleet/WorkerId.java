package org.fescuehook.model.fleet;

/**
 * Name of a worker.
 *
 * @param value the name, not blank
 */
public record WorkerId(String value) implements Comparable<WorkerId> {

  /** Checks that the name is not blank. */
  public WorkerId {
    if (value.isBlank()) {
      throw new IllegalArgumentException("blank WorkerId");
    }
  }

  @Override
  public int compareTo(WorkerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
