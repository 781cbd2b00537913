package org.fescuehook.bench;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.fescuehook.bench.batch.MeasureBatch;
import org.fescuehook.bench.capacity.MeasureCapacity;
import org.fescuehook.bench.policy.MeasurePolicy;
import org.fescuehook.bench.proof.ProveCommand;
import org.fescuehook.bench.soak.SoakCommand;
import org.fescuehook.bench.tryout.TryCommand;

/** Runs one measurement by its name. */
public final class Main {

  private static final int USAGE = 2;

  private static final Map<String, Supplier<Subcommand>> SUBCOMMANDS =
      new TreeMap<>(
          Map.of(
              "batch",
              MeasureBatch::new,
              "capacity",
              MeasureCapacity::new,
              "policy",
              MeasurePolicy::new,
              "prove",
              ProveCommand::new,
              "soak",
              SoakCommand::new,
              "try",
              TryCommand::new));

  private Main() {}

  /** Runs the subcommand that the first argument names. */
  public static void main(String[] arguments) throws Exception {
    if (arguments.length == 0 || !SUBCOMMANDS.containsKey(arguments[0])) {
      System.err.println("usage: measure " + String.join("|", SUBCOMMANDS.keySet()));
      System.exit(USAGE);
    }
    String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
    System.exit(SUBCOMMANDS.get(arguments[0]).get().run(rest));
  }
}
