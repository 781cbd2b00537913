package org.fescuehook.cli.command;

/** Exit codes of all commands. */
public enum ExitCode {
  /** Done, or nothing to do. */
  DONE(0, "done, or nothing was to be done"),
  /** The entry VM refused, or the replay went another way. */
  REFUSED(1, "the entry VM refused, or a replay gave other decisions than the trace states"),
  /** The command line, a settings file or a declarations file is faulty. */
  FAULTY_INPUT(2, "the command line, settings, declarations or trace is faulty; nothing was done"),
  /** No answer; what was asked may have been done. */
  UNREACHABLE(3, "no answer from the entry VM; what was asked may have been done"),
  /** Another publication came first. */
  CONFLICT(4, "another publication came first; its revision and author are named"),
  /** There is no such job, revision or request. */
  NOT_FOUND(5, "there is no such job, revision or request"),
  /** The files differ from the declarations in force. */
  DIFFERENT(6, "config diff: the files differ from the declarations in force"),
  /** A fault of the program itself. */
  INTERNAL(70, "a fault of the program itself");

  private final int code;
  private final String meaning;

  ExitCode(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  /** Returns the number that the process ends with. */
  public int code() {
    return code;
  }

  /** Returns what it means, for help texts and documents. */
  public String meaning() {
    return meaning;
  }
}
