package org.fescuehook.bench.soak;

import java.util.Locale;
import org.fescuehook.bench.soak.judge.Findings;
import org.fescuehook.bench.soak.judge.Promise;

/** The outcome of a run: how often each promise was checked and broken, and the first breaches. */
public final class PromiseTable {

  private static final int MOST_BREACHES = 3;

  private PromiseTable() {}

  /** Returns the table. */
  public static String text(Findings findings) {
    StringBuilder table = new StringBuilder();
    table.append(String.format(Locale.ROOT, "%-64s | checked | broken%n", "promise"));
    for (Promise promise : Promise.values()) {
      int broken = findings.broken(promise).size();
      table.append(
          String.format(
              Locale.ROOT,
              "%-64s | %7d | %6d%n",
              promise.text(),
              findings.checked(promise),
              broken));
      findings.broken(promise).stream()
          .limit(MOST_BREACHES)
          .forEach(breach -> table.append("  ").append(breach).append("\n"));
    }
    return table.toString();
  }
}
