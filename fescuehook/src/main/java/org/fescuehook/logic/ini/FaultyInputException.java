package org.fescuehook.logic.ini;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if INI files are rejected; carries all faults that were found. */
public final class FaultyInputException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<Fault> faults;

  /** Creates the exception from at least one fault, which it sorts by location. */
  public FaultyInputException(List<Fault> faults) {
    super(
        faults.stream()
            .sorted(Fault.BY_PLACE)
            .map(Fault::message)
            .collect(Collectors.joining("\n")));
    this.faults = faults.stream().sorted(Fault.BY_PLACE).toList();
  }

  /** Returns the faults in the order of their locations. */
  public List<Fault> faults() {
    return faults;
  }
}
