package org.fescuehook.bench;

/** One measurement of the bench program. */
public interface Subcommand {

  /**
   * Runs the measurement and prints its figures.
   *
   * @param arguments arguments after the name of the subcommand
   * @return exit status, 0 if all was measured
   * @throws Exception if the measurement could not be made
   */
  int run(String[] arguments) throws Exception;
}
