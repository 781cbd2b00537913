package org.fescuehook.model.fleet;

/**
 * Name of a failure domain.
 *
 * @param value the name, not blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

  /** Checks that the name is not blank. */
  public FailureDomain {
    if (value.isBlank()) {
      throw new IllegalArgumentException("blank FailureDomain");
    }
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
