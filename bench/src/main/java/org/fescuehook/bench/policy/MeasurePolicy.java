package org.fescuehook.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
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

  private final PolicyTable table = new PolicyTable();

  @Override
  public int run(String[] arguments) throws Exception {
    new CmdLineParser(this).parseArgument(arguments);
    List<String> notes = new ArrayList<>();
    List<String> rows = new ArrayList<>(table.head());
    for (Scenario scenario : Scenario.values()) {
      String name = scenario.name().toLowerCase(Locale.ROOT).replace('_', ' ');
      if (only.isEmpty() || only.equals(name)) {
        measure(scenario, name, notes, rows);
      }
    }
    System.out.println("seed " + seed);
    notes.forEach(System.out::println);
    System.out.println();
    rows.forEach(System.out::println);
    return 0;
  }

  private void measure(Scenario scenario, String name, List<String> notes, List<String> rows) {
    Trace trace = scenario.write(seed);
    PolicyRun ours = new PolicyRun(trace, Contender.OURS).run();
    Reference reference = Reference.of(trace, ours);
    notes.add(table.describe(name, trace, reference));
    for (Contender c : contenders()) {
      PolicyRun run = c.equals(Contender.OURS) ? ours : new PolicyRun(trace, c).run();
      rows.add(table.row(name, trace, reference, run));
    }
  }

  private List<Contender> contenders() {
    List<Contender> contenders = new ArrayList<>(Contender.main());
    if (!mainOnly) {
      contenders.addAll(Contender.withoutParts());
    }
    return contenders;
  }
}
