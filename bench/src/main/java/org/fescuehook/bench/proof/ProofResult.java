package org.fescuehook.bench.proof;

import java.util.List;
import java.util.Locale;

/**
 * The outcome of a proof.
 *
 * @param breaches what broke the promise besides what the counts show
 * @param remarks what is told besides
 */
record ProofResult(
    String name,
    String promise,
    String failure,
    ProofCounts counts,
    List<String> breaches,
    List<String> remarks) {

  boolean passed() {
    return breaches.isEmpty() && counts.asPromised();
  }

  /** Returns its line, with columns apart by bars. */
  String line() {
    return String.format(
        Locale.ROOT,
        "%s | %s | %d | %d | %d | %d | %.1f %% | %s",
        promise,
        failure,
        counts.tried(),
        counts.lost(),
        counts.doubled(),
        counts.wronglyRefused(),
        counts.refusedPercent(),
        passed() ? "passed" : "FAILED");
  }
}
