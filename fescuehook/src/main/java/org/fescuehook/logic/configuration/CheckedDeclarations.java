package org.fescuehook.logic.configuration;

import java.util.List;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.model.configuration.Declarations;

/**
 * Declarations without syntax faults, and the findings of the checks.
 *
 * @param declarations the declarations
 * @param faults faults that prevent publication, for example a guarantee that the fleet cannot hold
 * @param warnings likely mistakes that do not prevent publication, for example a rule that never
 *     matches
 */
public record CheckedDeclarations(
    Declarations declarations, List<Fault> faults, List<Fault> warnings) {

  /** Copies the lists. */
  public CheckedDeclarations {
    faults = List.copyOf(faults);
    warnings = List.copyOf(warnings);
  }
}
