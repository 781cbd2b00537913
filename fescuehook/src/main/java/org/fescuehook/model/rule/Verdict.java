package org.fescuehook.model.rule;

/** Decision of a rule about the jobs that it matches. */
public sealed interface Verdict {

  /**
   * The job may run.
   *
   * @param priority jobs with a higher priority are tried first
   * @param mayBorrow whether it may use capacity beyond its organisation's guaranteed shapes
   */
  record Admit(int priority, boolean mayBorrow) implements Verdict {}

  /**
   * The job is refused at submission.
   *
   * @param detail text for the caller
   */
  record Refuse(String detail) implements Verdict {}
}
