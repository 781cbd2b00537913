package org.fescuehook.model.configuration;

import java.util.List;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.rule.Rule;

/**
 * Everything that operators declare.
 *
 * @param organisations organisations in the order of their names
 * @param guarantees guaranteed shapes in the order of their names
 * @param rules rules in the order of their numbers
 * @param fleet declared backend servers
 * @param policy weights of the scheduling policy
 */
public record Declarations(
    List<Organisation> organisations,
    List<GuaranteedShape> guarantees,
    List<Rule> rules,
    Fleet fleet,
    PolicyPreferences policy) {

  /** Copies the lists. */
  public Declarations {
    organisations = List.copyOf(organisations);
    guarantees = List.copyOf(guarantees);
    rules = List.copyOf(rules);
  }
}
