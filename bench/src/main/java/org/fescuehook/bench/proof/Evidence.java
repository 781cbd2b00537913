package org.fescuehook.bench.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.fescuehook.bench.caller.CallerLoad;

/** What a proof has seen: requests, breaches of its promise, and remarks. */
final class Evidence {
  private final List<TriedRequest> requests = new ArrayList<>();
  private final List<String> breaches = new ArrayList<>();
  private final List<String> remarks = new ArrayList<>();

  /** Adds the requests of callers that have stopped. */
  void addLoad(CallerLoad load, boolean repeatable) {
    load.sent().forEach(s -> requests.add(new TriedRequest(s.path(), repeatable, List.of(s))));
  }

  /** Adds requests with all their attempts. */
  void addRequests(List<TriedRequest> tried) {
    requests.addAll(tried);
  }

  /** Adds a breach unless something is as expected. */
  void expect(String what, Object expected, Object seen) {
    if (!expected.equals(seen)) {
      breaches.add(what + ": " + seen + " instead of " + expected);
    }
  }

  /** Adds a breach. */
  void breach(String text) {
    breaches.add(text);
  }

  /** Adds a remark, which does not decide whether the proof passed. */
  void remark(String text) {
    remarks.add(text);
  }

  /** Returns how many requests are lost, by the callers and the outcome of the last attempt. */
  Map<String, Long> lostByOutcome() {
    return requests.stream()
        .filter(TriedRequest::lost)
        .collect(Collectors.groupingBy(Evidence::describe, TreeMap::new, Collectors.counting()));
  }

  private static String describe(TriedRequest request) {
    String outcome = request.attempts().getLast().outcome().toString();
    return request.path().split("/", 3)[1] + " " + outcome;
  }

  List<TriedRequest> requests() {
    return List.copyOf(requests);
  }

  List<String> breaches() {
    return List.copyOf(breaches);
  }

  List<String> remarks() {
    return List.copyOf(remarks);
  }
}
