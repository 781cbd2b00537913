package org.fescuehook.bench.proof;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.fescuehook.standins.executor.RequestRun;

/**
 * What became of the requests of a proof.
 *
 * @param tried requests, not attempts
 * @param lost requests without any answer of their own, or with an answer though they never ran
 * @param doubled requests that are not repeatable and ran more than once
 * @param wronglyRefused requests said to be not run at each attempt, that ran
 * @param refused requests said to be not run at each attempt
 * @param unknown requests that got neither the executor's answer nor a refusal as not run
 * @param foreign requests that were given another's answer
 */
record ProofCounts(
    long tried,
    long lost,
    long doubled,
    long wronglyRefused,
    long refused,
    long unknown,
    long foreign) {

  /** Compares what callers were told with what executors ran. */
  static ProofCounts judge(List<TriedRequest> requests, List<RequestRun> journal) {
    Map<String, Long> runs =
        journal.stream().collect(Collectors.groupingBy(RequestRun::path, Collectors.counting()));
    long lost =
        requests.stream()
            .filter(r -> r.lost() || (r.whole() && !runs.containsKey(r.path())))
            .count();
    long doubled =
        requests.stream()
            .filter(r -> !r.repeatable() && runs.getOrDefault(r.path(), 0L) > 1)
            .count();
    long wrong = requests.stream().filter(r -> r.refused() && runs.containsKey(r.path())).count();
    long refused = requests.stream().filter(TriedRequest::refused).count();
    long unknown = requests.stream().filter(r -> !r.whole() && !r.refused()).count();
    long foreign = requests.stream().filter(TriedRequest::foreign).count();
    return new ProofCounts(requests.size(), lost, doubled, wrong, refused, unknown, foreign);
  }

  /** Tells whether requests were tried, and none was lost, doubled or told what is not true. */
  boolean asPromised() {
    return tried > 0 && lost == 0 && doubled == 0 && wronglyRefused == 0 && foreign == 0;
  }

  /** Returns the share of requests refused as not run, in percent. */
  double refusedPercent() {
    return tried == 0 ? 0 : 100.0 * refused / tried;
  }
}
