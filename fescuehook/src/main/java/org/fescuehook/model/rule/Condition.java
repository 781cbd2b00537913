package org.fescuehook.model.rule;

import org.fescuehook.model.organisation.OrganisationId;

/** One condition of a rule. All conditions of a rule have to hold for it to match. */
public sealed interface Condition {

  /** The job belongs to this organisation. */
  record OfOrganisation(OrganisationId organisation) implements Condition {}

  /** The number of accelerators that the job needs is in this range, both ends included. */
  record AcceleratorsBetween(int least, int most) implements Condition {}

  /** The declared run time in seconds is in this range, both ends included. */
  record DeclaredSecondsBetween(long least, long most) implements Condition {}

  /** The job is urgent, or is not. */
  record Urgent(boolean urgent) implements Condition {}

  /**
   * The minute of the day in UTC is in this range, both ends included; the range may cross
   * midnight.
   */
  record MinuteOfDayBetween(int from, int until) implements Condition {}

  /** The share of the fleet's accelerators in use is in this range, 0 to 1, both ends included. */
  record LoadBetween(double least, double most) implements Condition {}
}
