package org.fescuehook.logic.trace;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.rule.Condition;
import org.fescuehook.model.rule.Rule;
import org.fescuehook.model.rule.Verdict;

/** Parses a line of a trace that declares a rule. */
final class RuleLineParser {

  private static final int LAST_MINUTE = 24 * 60 - 1;

  Rule parse(TraceLine line) throws TraceFormatException {
    int number = (int) line.parse("rule", line.word(1, "rule"), 1, Integer.MAX_VALUE);
    Rule rule = new Rule(number, conditions(line), verdict(line));
    line.requireEnd(3);
    return rule;
  }

  private static List<Condition> conditions(TraceLine line) throws TraceFormatException {
    List<Condition> conditions = new ArrayList<>();
    if (line.optional("organisation").isPresent()) {
      OrganisationId id = new OrganisationId(line.text("organisation"));
      conditions.add(new Condition.OfOrganisation(id));
    }
    if (line.optional("accelerators").isPresent()) {
      long[] ends = numbers(line, "accelerators", Integer.MAX_VALUE);
      conditions.add(new Condition.AcceleratorsBetween((int) ends[0], (int) ends[1]));
    }
    if (line.optional("declared-s").isPresent()) {
      long[] ends = numbers(line, "declared-s", Long.MAX_VALUE);
      conditions.add(new Condition.DeclaredSecondsBetween(ends[0], ends[1]));
    }
    if (line.optional("urgent").isPresent()) {
      conditions.add(new Condition.Urgent(line.flag("urgent")));
    }
    if (line.optional("minutes").isPresent()) {
      long[] ends = numbers(line, "minutes", LAST_MINUTE);
      conditions.add(new Condition.MinuteOfDayBetween((int) ends[0], (int) ends[1]));
    }
    if (line.optional("load").isPresent()) {
      conditions.add(load(line));
    }
    return conditions;
  }

  private static Condition load(TraceLine line) throws TraceFormatException {
    String[] ends = line.range("load");
    return new Condition.LoadBetween(
        line.parseDecimal("load", ends[0], 0, 1), line.parseDecimal("load", ends[1], 0, 1));
  }

  private static long[] numbers(TraceLine line, String name, long most)
      throws TraceFormatException {
    String[] ends = line.range(name);
    return new long[] {line.parse(name, ends[0], 0, most), line.parse(name, ends[1], 0, most)};
  }

  private static Verdict verdict(TraceLine line) throws TraceFormatException {
    return switch (line.word(2, "verdict")) {
      case "admit" ->
          new Verdict.Admit(
              (int) line.number("priority", Integer.MIN_VALUE, Integer.MAX_VALUE),
              line.flag("borrow"));
      case "refuse" -> new Verdict.Refuse(line.text("detail"));
      default -> throw line.error("verdict", "is neither admit nor refuse");
    };
  }
}
