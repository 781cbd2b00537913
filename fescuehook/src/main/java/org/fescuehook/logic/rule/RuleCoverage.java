package org.fescuehook.logic.rule;

import java.util.Arrays;
import java.util.Optional;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.rule.Condition;
import org.fescuehook.model.rule.Rule;

/**
 * The set of jobs and circumstances that a rule matches, with one component for each kind of
 * condition.
 *
 * @param organisation only organisation whose jobs match; empty if the rule does not restrict it
 * @param organisationsClash whether the rule requires two different organisations and so matches no
 *     job
 * @param accelerators matching numbers of accelerators
 * @param declaredSeconds matching declared run times, in seconds
 * @param load matching shares of the fleet's accelerators that are in use
 * @param whenUrgent whether urgent jobs match
 * @param whenNotUrgent whether jobs that are not urgent match
 * @param minutes for each minute of the day in UTC, whether it matches
 */
record RuleCoverage(
    Optional<OrganisationId> organisation,
    boolean organisationsClash,
    Range accelerators,
    Range declaredSeconds,
    Range load,
    boolean whenUrgent,
    boolean whenNotUrgent,
    boolean[] minutes) {

  private static final int MINUTES_PER_DAY = 24 * 60;

  static RuleCoverage of(Rule rule) {
    RuleCoverage coverage =
        new RuleCoverage(
            Optional.empty(),
            false,
            Range.ALL,
            Range.ALL,
            new Range(0, 1),
            true,
            true,
            allMinutes());
    for (Condition condition : rule.when()) {
      coverage = coverage.and(condition);
    }
    return coverage;
  }

  private static boolean[] allMinutes() {
    boolean[] minutes = new boolean[MINUTES_PER_DAY];
    Arrays.fill(minutes, true);
    return minutes;
  }

  private RuleCoverage and(Condition condition) {
    return switch (condition) {
      case Condition.OfOrganisation(var id) ->
          new RuleCoverage(
              Optional.of(id),
              organisationsClash || (organisation.isPresent() && !organisation.get().equals(id)),
              accelerators,
              declaredSeconds,
              load,
              whenUrgent,
              whenNotUrgent,
              minutes);
      case Condition.AcceleratorsBetween(int least, int most) ->
          withRanges(accelerators.and(least, most), declaredSeconds, load);
      case Condition.DeclaredSecondsBetween(long least, long most) ->
          withRanges(accelerators, declaredSeconds.and(least, most), load);
      case Condition.LoadBetween(double least, double most) ->
          withRanges(accelerators, declaredSeconds, load.and(least, most));
      case Condition.Urgent(boolean urgent) -> withUrgency(urgent);
      case Condition.MinuteOfDayBetween(int from, int until) -> withMinutes(from, until);
    };
  }

  private RuleCoverage withRanges(Range accelerators, Range declaredSeconds, Range load) {
    return new RuleCoverage(
        organisation,
        organisationsClash,
        accelerators,
        declaredSeconds,
        load,
        whenUrgent,
        whenNotUrgent,
        minutes);
  }

  private RuleCoverage withUrgency(boolean urgent) {
    return new RuleCoverage(
        organisation,
        organisationsClash,
        accelerators,
        declaredSeconds,
        load,
        whenUrgent && urgent,
        whenNotUrgent && !urgent,
        minutes);
  }

  private RuleCoverage withMinutes(int from, int until) {
    boolean[] kept = minutes.clone();
    for (int m = 0; m < kept.length; m++) {
      boolean inside = from <= until ? m >= from && m <= until : m >= from || m <= until;
      kept[m] &= inside;
    }
    return new RuleCoverage(
        organisation,
        organisationsClash,
        accelerators,
        declaredSeconds,
        load,
        whenUrgent,
        whenNotUrgent,
        kept);
  }

  boolean isEmpty() {
    boolean noMinute = true;
    for (boolean m : minutes) {
      noMinute &= !m;
    }
    return organisationsClash
        || accelerators.isEmpty()
        || declaredSeconds.isEmpty()
        || load.isEmpty()
        || noMinute
        || (!whenUrgent && !whenNotUrgent);
  }

  boolean contains(RuleCoverage other) {
    for (int m = 0; m < minutes.length; m++) {
      if (other.minutes[m] && !minutes[m]) {
        return false;
      }
    }
    return (organisation.isEmpty() || organisation.equals(other.organisation))
        && accelerators.contains(other.accelerators)
        && declaredSeconds.contains(other.declaredSeconds)
        && load.contains(other.load)
        && (whenUrgent || !other.whenUrgent)
        && (whenNotUrgent || !other.whenNotUrgent);
  }
}
