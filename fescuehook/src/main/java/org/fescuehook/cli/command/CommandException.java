package org.fescuehook.cli.command;

/** Thrown when a command fails; its one-line message tells the user what to do. */
public final class CommandException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /** Creates the exception with the exit code of the process and a message for the user. */
  public CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Returns the exit code of the process. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
