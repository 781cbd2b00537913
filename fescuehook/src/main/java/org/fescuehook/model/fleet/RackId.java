package org.fescuehook.model.fleet;

/**
 * Name of a rack.
 *
 * @param value the name, not blank
 */
public record RackId(String value) implements Comparable<RackId> {

  /** Checks that the name is not blank. */
  public RackId {
    if (value.isBlank()) {
      throw new IllegalArgumentException("blank RackId");
    }
  }

  @Override
  public int compareTo(RackId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
