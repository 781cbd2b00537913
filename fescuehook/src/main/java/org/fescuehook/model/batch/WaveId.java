package org.fescuehook.model.batch;

/** Name of a maintenance wave. */
public record WaveId(String value) implements Comparable<WaveId> {

  /** Checks the name. */
  public WaveId {
    if (value.isBlank()) {
      throw new IllegalArgumentException("a wave without a name");
    }
  }

  @Override
  public int compareTo(WaveId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
