package org.fescuehook.model.job;

/**
 * Identifier of a job. An id is never reused.
 *
 * @param value the name, not blank
 */
public record JobId(String value) implements Comparable<JobId> {

  /** Checks that the name is not blank. */
  public JobId {
    if (value.isBlank()) {
      throw new IllegalArgumentException("blank JobId");
    }
  }

  @Override
  public int compareTo(JobId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
