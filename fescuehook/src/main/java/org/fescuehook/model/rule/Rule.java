package org.fescuehook.model.rule;

import java.util.List;

/**
 * A when-then rule. Rules are tried in the order of their numbers, and the first one that matches
 * is applied.
 *
 * @param number position in the order, unique
 * @param when conditions that all have to hold; empty matches every job
 * @param then decision about the jobs that match
 */
public record Rule(int number, List<Condition> when, Verdict then) {

  /** Copies the conditions. */
  public Rule {
    when = List.copyOf(when);
  }
}
