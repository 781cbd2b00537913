package org.fescuehook.bench.outcome;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Outcomes as stated beside those seen, one line each. */
public final class OutcomeTable {
  private final PrintStream out;
  private final List<Outcome> outcomes = new ArrayList<>();

  /**
   * One line.
   *
   * @param name what is looked at
   * @param stated what is to be seen
   * @param seen what was seen
   * @param asStated whether the two agree
   */
  public record Outcome(String name, String stated, String seen, boolean asStated) {}

  /** Part of a run that adds outcomes. */
  @FunctionalInterface
  public interface Step {
    /** Does the step; a failure is an outcome that is not as stated. */
    void run() throws Exception;
  }

  /** Creates a table; each outcome is printed as soon as it is known. */
  public OutcomeTable(PrintStream out) {
    this.out = out;
  }

  /** Adds an outcome. */
  public void add(String name, String stated, Object seen, boolean asStated) {
    Outcome outcome = new Outcome(name, stated, String.valueOf(seen), asStated);
    outcomes.add(outcome);
    out.println((asStated ? "as stated  " : "NOT STATED ") + name + ": " + seen);
  }

  /** Adds an outcome that is to be equal to what is stated. */
  public void addEqual(String name, Object stated, Object seen) {
    add(name, String.valueOf(stated), seen, stated.equals(seen));
  }

  /** Adds a duration that is to be within a limit, both in milliseconds. */
  public void addWithin(String name, long limitMillis, long millis) {
    add(name, "<= " + limitMillis + " ms", millis + " ms", millis <= limitMillis);
  }

  /** Does a step; what it throws is added as an outcome, and the run goes on. */
  public void attempt(String name, Step step) throws InterruptedException {
    try {
      step.run();
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      add(name, "done", "failed: " + e.getMessage(), false);
    }
  }

  /** Tells whether all outcomes are as stated; a table without any is not. */
  public boolean allAsStated() {
    return !outcomes.isEmpty() && outcomes.stream().allMatch(Outcome::asStated);
  }

  /** Prints the table. */
  public void print() {
    int name = width("outcome", outcomes.stream().map(Outcome::name).toList());
    int stated = width("stated", outcomes.stream().map(Outcome::stated).toList());
    String format = "%-4s %-" + name + "s  %-" + stated + "s  %s%n";
    out.println();
    out.printf(format, "", "outcome", "stated", "seen");
    for (Outcome o : outcomes) {
      out.printf(format, o.asStated() ? "ok" : "FAIL", o.name(), o.stated(), o.seen());
    }
    long failed = outcomes.stream().filter(o -> !o.asStated()).count();
    out.printf("%n%d outcomes, %d not as stated%n", outcomes.size(), failed);
  }

  private static int width(String head, List<String> texts) {
    return texts.stream().mapToInt(String::length).reduce(head.length(), Math::max);
  }
}
