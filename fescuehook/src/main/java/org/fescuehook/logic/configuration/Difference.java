package org.fescuehook.logic.configuration;

/**
 * One difference between two sets of declarations.
 *
 * @param subject item that differs, for example {@code organisation surveys}
 * @param before its description in the first set; empty if the item is missing there
 * @param after its description in the second set; empty if the item is missing there
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
