package org.fescuehook.logic.trace;

import java.util.ArrayList;
import java.util.List;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.rule.Condition;
import org.fescuehook.model.rule.Rule;
import org.fescuehook.model.rule.Verdict;

/** Writes the text of a trace. Parsing the text with {@link TraceParser} gives an equal trace. */
public final class TraceWriter {

  /** Returns the lines of a trace. */
  public List<String> write(Trace trace) {
    List<String> lines = new ArrayList<>();
    lines.add(TraceParser.HEADER);
    Declarations d = trace.declarations();
    lines.add(policy(d.policy()));
    lines.add(timing(trace.timing()));
    d.organisations().forEach(o -> lines.add(organisation(o)));
    d.guarantees().forEach(g -> lines.add(guarantee(g)));
    d.rules().forEach(r -> lines.add(rule(r)));
    d.fleet().workers().forEach(w -> lines.add(worker(w)));
    trace.events().forEach(e -> lines.add(event(e)));
    return lines;
  }

  /** Returns the line of one event. */
  public String event(TraceEvent event) {
    String at = "at " + event.atMillis() + " ";
    return switch (event) {
      case TraceEvent.Submitted(Job job, JobBehaviour behaviour) -> at + submitted(job, behaviour);
      case TraceEvent.Cancelled e -> at + "cancel " + e.job();
      case TraceEvent.Lapsed e -> at + "lapse " + e.worker();
      case TraceEvent.Returned e -> at + "return " + e.worker();
      case TraceEvent.Leaving e -> at + "leave " + e.worker();
      case TraceEvent.Failing e -> at + "fail " + e.worker() + " after-s=" + e.afterSeconds();
      case TraceEvent.Recovered e -> at + "mend " + e.worker();
    };
  }

  private static String policy(PolicyPreferences p) {
    return "policy fragmentation-weight="
        + p.fragmentationWeight()
        + " reclaim-ms="
        + p.reclaimBound().toMillis()
        + " notice-ms="
        + p.checkpointNotice().toMillis()
        + " urgent-ms="
        + p.urgentStartBound().toMillis()
        + " max-wait-ms="
        + p.maxWait().toMillis()
        + " max-attempts="
        + p.maxAttempts();
  }

  private static String timing(WorkerTiming t) {
    return "timing start-ms="
        + t.startMillis()
        + " release-ms="
        + t.releaseMillis()
        + " lease-ms="
        + t.leaseMillis();
  }

  private static String organisation(Organisation o) {
    return "organisation " + o.id() + " weight=" + o.weight() + " quota=" + o.quotaAccelerators();
  }

  private static String guarantee(GuaranteedShape g) {
    return "guarantee "
        + g.name()
        + " organisation="
        + g.organisation()
        + shape(g.shape())
        + " count="
        + g.count();
  }

  private static String worker(Worker w) {
    return "worker "
        + w.id()
        + " domain="
        + w.domain()
        + " rack="
        + w.rack()
        + capacity(w.capacity());
  }

  private static String rule(Rule rule) {
    StringBuilder line = new StringBuilder("rule ").append(rule.number());
    line.append(verdict(rule.then()));
    rule.when().forEach(c -> line.append(condition(c)));
    return line.toString();
  }

  private static String verdict(Verdict verdict) {
    return switch (verdict) {
      case Verdict.Admit(int priority, boolean borrow) ->
          " admit priority=" + priority + " borrow=" + borrow;
      case Verdict.Refuse(String detail) -> " refuse detail=" + detail.replaceAll("\\s+", "_");
    };
  }

  private static String condition(Condition condition) {
    return switch (condition) {
      case Condition.OfOrganisation(var id) -> " organisation=" + id;
      case Condition.AcceleratorsBetween(int least, int most) ->
          " accelerators=" + least + ".." + most;
      case Condition.DeclaredSecondsBetween(long least, long most) ->
          " declared-s=" + least + ".." + most;
      case Condition.Urgent(boolean urgent) -> " urgent=" + urgent;
      case Condition.MinuteOfDayBetween(int from, int until) -> " minutes=" + from + ".." + until;
      case Condition.LoadBetween(double least, double most) -> " load=" + least + ".." + most;
    };
  }

  private static String submitted(Job job, JobBehaviour behaviour) {
    StringBuilder line = new StringBuilder("submit ").append(job.id());
    line.append(" organisation=").append(job.organisation());
    line.append(shape(job.shape()));
    line.append(" urgent=").append(job.urgent());
    line.append(" checkpointable=").append(job.checkpointable());
    line.append(" declared-s=").append(job.declaredSeconds());
    line.append(" runs-s=").append(behaviour.runSeconds());
    behaviour.failsAfterSeconds().ifPresent(s -> line.append(" fails-after-s=").append(s));
    behaviour.checkpointMillis().ifPresent(m -> line.append(" checkpoint-ms=").append(m));
    return line.toString();
  }

  private static String shape(Shape shape) {
    return " members="
        + shape.members()
        + capacity(shape.perMember())
        + " max-racks="
        + shape.maxRacks();
  }

  private static String capacity(Capacity c) {
    return " accelerators="
        + c.accelerators()
        + " cores="
        + c.cores()
        + " memory-mb="
        + c.memoryMegabytes();
  }
}
