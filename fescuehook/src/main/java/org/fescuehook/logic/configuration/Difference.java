package org.fescuehook.logic.configuration;

/**
 * One difference between two declarations.
 *
 * @param subject what differs, as {@code organisation surveys}
 * @param before how it is declared now; empty if it is not
 * @param after how the other declares it; empty if it does not
 */
public record Difference(String subject, String before, String after) {

  /** Returns the difference as one line. */
  public String describe() {
    if (before.isEmpty()) {
      return "+ " + subject + ": " + after;
    }
    if (after.isEmpty()) {
      return "- " + subject + ": " + before;
    }
    return "~ " + subject + ": " + before + " -> " + after;
  }
}
