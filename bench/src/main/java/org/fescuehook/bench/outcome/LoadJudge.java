package org.fescuehook.bench.outcome;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.fescuehook.bench.caller.CallerLoad;
import org.fescuehook.bench.caller.CallerLoad.Sent;
import org.fescuehook.bench.caller.CallerOutcome;
import org.fescuehook.standins.executor.RequestRun;

/** Compares what callers were told with what executors ran. */
public final class LoadJudge {
  private final OutcomeTable table;

  /** Creates a judge that adds outcomes to a table. */
  public LoadJudge(OutcomeTable table) {
    this.table = table;
  }

  /** States that each request was answered whole and right. */
  public void allWhole(String name, CallerLoad load) {
    List<Sent> sent = load.sent();
    long whole = sent.stream().filter(Sent::whole).count();
    String seen = whole + times(load.nanos()) + others(sent);
    boolean asStated = whole == sent.size() && whole > 0;
    table.add(name + ": answered whole and right", "all of " + sent.size(), seen, asStated);
  }

  /** States that each of some requests was answered whole, or surely not run. */
  public void wholeOrNotRun(String name, List<Sent> sent) {
    long right = sent.stream().filter(s -> s.whole() || s.notRun()).count();
    boolean asStated = right == sent.size() && right > 0;
    table.add(name, "all of " + sent.size(), right + others(sent), asStated);
  }

  /** States that nothing ran twice, that "not run" is true, and that no answer was another's. */
  public void runsAreAsTold(String name, List<Sent> sent, List<RequestRun> journal) {
    Map<String, Integer> runs = new HashMap<>();
    for (RequestRun run : journal) {
      runs.merge(run.path(), 1, Integer::sum);
    }
    long twice = sent.stream().filter(s -> runs.getOrDefault(s.path(), 0) > 1).count();
    long belied = sent.stream().filter(s -> s.notRun() && runs.containsKey(s.path())).count();
    long foreign = sent.stream().filter(Sent::foreign).count();
    table.addEqual(name + ": run twice", 0L, twice);
    table.addEqual(name + ": said to be not run, but run", 0L, belied);
    table.addEqual(name + ": given another's answer", 0L, foreign);
  }

  private static String times(Histogram nanos) {
    long p50 = nanos.getValueAtPercentile(50) / 1000;
    long p99 = nanos.getValueAtPercentile(99) / 1000;
    return ", p50 " + p50 + " us, p99 " + p99 + " us";
  }

  private static String others(List<Sent> sent) {
    Map<String, Long> kinds =
        sent.stream()
            .filter(s -> !s.whole())
            .collect(Collectors.groupingBy(s -> describe(s.outcome()), Collectors.counting()));
    return kinds.isEmpty() ? "" : ", others " + kinds;
  }

  private static String describe(CallerOutcome outcome) {
    return outcome instanceof CallerOutcome.Answered a
        ? a.status() + " " + a.text()
        : outcome.toString();
  }
}
