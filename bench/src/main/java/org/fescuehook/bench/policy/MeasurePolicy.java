package org.fescuehook.bench.policy;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.fescuehook.bench.Subcommand;
import org.fescuehook.bench.policy.PolicyTable.Reference;
import org.fescuehook.logic.trace.Trace;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Prints the table of policies over traces. */
public final class MeasurePolicy implements Subcommand {

  @Option(name = "--seed", usage = "seed of all traces")
  private long seed = 1;

  @Option(name = "--trace", usage = "only this trace")
  private String only = "";

  @Option(name = "--main", usage = "only the main policies, not each part switched off")
  private boolean mainOnly;

  @Option(name = "--threads", usage = "replays at one time; the figures do not depend on it")
  private int threads = 3;

  private final PolicyTable table = new PolicyTable();

  @Override
  public int run(String[] arguments) throws Exception {
    new CmdLineParser(this).parseArgument(arguments);
    List<String> notes = new ArrayList<>();
    List<String> rows = new ArrayList<>(table.head());
    try (ExecutorService replays = Executors.newFixedThreadPool(threads)) {
      Map<Scenario, List<Future<PolicyRun>>> runs = new EnumMap<>(Scenario.class);
      for (Scenario scenario : Scenario.values()) {
        if (only.isEmpty() || only.equals(name(scenario))) {
          runs.put(scenario, start(scenario, replays));
        }
      }
      for (Map.Entry<Scenario, List<Future<PolicyRun>>> entry : runs.entrySet()) {
        report(name(entry.getKey()), entry.getValue(), notes, rows);
      }
    }
    System.out.println("seed " + seed);
    notes.forEach(System.out::println);
    System.out.println();
    rows.forEach(System.out::println);
    if (only.isEmpty()) {
      System.out.println();
      new DecisionCost(seed).measure().forEach(System.out::println);
    }
    return 0;
  }

  private static String name(Scenario scenario) {
    return scenario.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  private List<Future<PolicyRun>> start(Scenario scenario, ExecutorService replays) {
    Trace trace = scenario.write(seed);
    List<Future<PolicyRun>> runs = new ArrayList<>();
    for (Contender c : contenders(scenario)) {
      runs.add(replays.submit(() -> new PolicyRun(trace, c).run()));
    }
    return runs;
  }

  private void report(
      String name, List<Future<PolicyRun>> futures, List<String> notes, List<String> rows)
      throws InterruptedException, ExecutionException {
    List<PolicyRun> runs = new ArrayList<>();
    for (Future<PolicyRun> f : futures) {
      runs.add(f.get());
    }
    PolicyRun ours =
        runs.stream().filter(r -> r.contender().equals(Contender.OURS)).findFirst().get();
    Reference reference = Reference.of(ours.trace(), ours);
    notes.add(table.describe(name, ours.trace(), reference));
    for (PolicyRun run : runs) {
      rows.add(table.row(name, run.trace(), reference, run));
    }
  }

  /** Returns the policies for a trace; parts are switched off on the smaller traces only. */
  private List<Contender> contenders(Scenario scenario) {
    List<Contender> contenders = new ArrayList<>(Contender.main());
    if (!mainOnly && scenario != Scenario.TWO_YEARS) {
      contenders.addAll(Contender.withoutParts());
    }
    return contenders;
  }
}
