package org.fescuehook.cli.command;

import java.io.PrintStream;
import java.util.Map;

/**
 * What a command reads from and writes to.
 *
 * @param out results
 * @param err faults and advice
 * @param environment environment variables
 */
public record Console(PrintStream out, PrintStream err, Map<String, String> environment) {

  /** Copies the map. */
  public Console {
    environment = Map.copyOf(environment);
  }
}
