package org.fescuehook.cli.command;

/** Defines the exit codes of all commands. */
public enum ExitCode {
  /** The command succeeded, or there was nothing to do. */
  DONE(0, "done, or nothing was to be done"),
  /** The entry VM rejected the request, or a replay made other decisions than the trace has. */
  REFUSED(1, "the entry VM refused, or a replay gave other decisions than the trace states"),
  /** The command line, a settings file, a declarations file or a trace is invalid. */
  FAULTY_INPUT(2, "the command line, settings, declarations or trace is faulty; nothing was done"),
  /** The entry VM sent no response; the request may have taken effect. */
  UNREACHABLE(3, "no answer from the entry VM; what was asked may have been done"),
  /** Another configuration was published since the revision that the change is based on. */
  CONFLICT(4, "another publication came first; its revision and author are named"),
  /** The job, revision or request does not exist. */
  NOT_FOUND(5, "there is no such job, revision or request"),
  /** The files differ from the declarations in force. */
  DIFFERENT(6, "config diff: the files differ from the declarations in force"),
  /** The program itself failed. */
  INTERNAL(70, "a fault of the program itself");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  /** Returns the exit status of the process. */
  public int code() {
    return code;
  }

  /** Returns the meaning of the code, for help texts and documentation. */
  public String meaning() {
    return meaning;
  }
}
