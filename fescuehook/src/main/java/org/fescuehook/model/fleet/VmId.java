package org.fescuehook.model.fleet;

/**
 * Name of an entry VM, as in its settings and in the list of VMs.
 *
 * @param value the name, not blank
 */
public record VmId(String value) implements Comparable<VmId> {

  /** Checks that the name is not blank. */
  public VmId {
    if (value.isBlank()) {
      throw new IllegalArgumentException("blank VmId");
    }
  }

  @Override
  public int compareTo(VmId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
