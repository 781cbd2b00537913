package org.fescuehook.logic.configuration;

import java.util.List;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.model.configuration.Declarations;

/**
 * Declarations of correct form, with what the checks found.
 *
 * @param declarations the declarations
 * @param faults what keeps them from being published, as a guarantee that cannot be met
 * @param warnings what is allowed and hardly meant, as a rule that never matches
 */
public record CheckedDeclarations(
    Declarations declarations, List<Fault> faults, List<Fault> warnings) {

  /** Copies the lists. */
  public CheckedDeclarations {
    faults = List.copyOf(faults);
    warnings = List.copyOf(warnings);
  }
}
