package org.fescuehook.model.batch;

/** Name of a machine that runs one executor after another. */
public record MachineId(String value) implements Comparable<MachineId> {

  /** Checks the name. */
  public MachineId {
    if (value.isBlank()) {
      throw new IllegalArgumentException("a machine without a name");
    }
  }

  @Override
  public int compareTo(MachineId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
