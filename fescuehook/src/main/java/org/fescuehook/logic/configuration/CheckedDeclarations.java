package org.fescuehook.logic.configuration;

import java.util.List;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.model.configuration.Declarations;

/**
 * Declarations without fault.
 *
 * @param declarations the declarations
 * @param warnings what is allowed and hardly meant, as a rule that never matches
 */
public record CheckedDeclarations(Declarations declarations, List<Fault> warnings) {

  /** Copies the list. */
  public CheckedDeclarations {
    warnings = List.copyOf(warnings);
  }
}
