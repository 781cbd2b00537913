package org.fescuehook.model.organisation;

/**
 * Name of an organisation.
 *
 * @param value the name, not blank
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

  /** Checks that the name is not blank. */
  public OrganisationId {
    if (value.isBlank()) {
      throw new IllegalArgumentException("blank OrganisationId");
    }
  }

  @Override
  public int compareTo(OrganisationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
