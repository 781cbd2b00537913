package org.fescuehook.cli.command;

/** A command could not do its work; the message is one line that says what to do. */
public final class CommandException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  /** Creates the exception. */
  public CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Returns the exit code of the process. */
  public ExitCode exitCode() {
    return exitCode;
  }
}
