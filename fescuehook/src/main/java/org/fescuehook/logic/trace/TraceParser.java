package org.fescuehook.logic.trace;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.Job;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.organisation.GuaranteedShape;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.rule.Rule;

/** Parses the text of a trace. An instance parses one trace only. */
public final class TraceParser {

  /** First line of a trace. It states the version of the format; no other version is supported. */
  public static final String HEADER = "fescuehook-trace 1";

  /** Placeholder address of a worker in a trace; a replay never connects to it. */
  private static final InetSocketAddress NO_ADDRESS =
      InetSocketAddress.createUnresolved("trace", 1);

  private final String file;
  private final List<Worker> workers = new ArrayList<>();
  private final List<Organisation> organisations = new ArrayList<>();
  private final List<GuaranteedShape> guarantees = new ArrayList<>();
  private final List<Rule> rules = new ArrayList<>();
  private final List<TraceEvent> events = new ArrayList<>();
  private final Set<String> names = new HashSet<>();
  private PolicyPreferences policy = PolicyPreferences.DEFAULT;
  private WorkerTiming timing = WorkerTiming.DEFAULT;
  private long lastMillis;

  /**
   * Creates a parser.
   *
   * @param file name of the trace, for errors
   */
  public TraceParser(String file) {
    this.file = file;
  }

  /**
   * Parses a whole trace.
   *
   * @throws TraceFormatException at the first malformed line
   */
  public Trace parse(List<String> lines) throws TraceFormatException {
    if (lines.isEmpty() || !lines.getFirst().strip().equals(HEADER)) {
      throw new TraceFormatException(file, 1, "header", "is not '" + HEADER + "'");
    }
    for (int i = 1; i < lines.size(); i++) {
      String text = lines.get(i).strip();
      if (!text.isEmpty() && !text.startsWith("#")) {
        parse(new TraceLine(file, i + 1, text));
      }
    }
    organisations.sort(Comparator.comparing(Organisation::id));
    guarantees.sort(Comparator.comparing(GuaranteedShape::name));
    rules.sort(Comparator.comparing(Rule::number));
    workers.sort(Comparator.comparing(Worker::id));
    Fleet fleet = new Fleet(workers, List.of());
    Declarations declarations = new Declarations(organisations, guarantees, rules, fleet, policy);
    return new Trace(declarations, timing, events);
  }

  private void parse(TraceLine line) throws TraceFormatException {
    String kind = line.word(0, "kind of line");
    switch (kind) {
      case "policy" -> policy = policy(line);
      case "timing" -> timing = timing(line);
      case "organisation" -> organisations.add(organisation(line));
      case "guarantee" -> guarantees.add(guarantee(line));
      case "rule" -> rules.add(new RuleLineParser().parse(line));
      case "worker" -> workers.add(worker(line));
      case "at" -> events.add(event(line));
      default -> throw line.error(kind, "is not a kind of line");
    }
  }

  private PolicyPreferences policy(TraceLine line) throws TraceFormatException {
    PolicyPreferences parsed =
        new PolicyPreferences(
            line.decimal("fragmentation-weight", 0, 1),
            Duration.ofMillis(line.number("reclaim-ms", 0, Long.MAX_VALUE)),
            Duration.ofMillis(line.number("notice-ms", 0, Long.MAX_VALUE)),
            Duration.ofMillis(line.number("urgent-ms", 1, Long.MAX_VALUE)),
            Duration.ofMillis(line.number("max-wait-ms", 1, Long.MAX_VALUE)),
            line.integer("max-attempts", 1));
    line.requireEnd(1);
    return parsed;
  }

  private WorkerTiming timing(TraceLine line) throws TraceFormatException {
    WorkerTiming parsed =
        new WorkerTiming(
            line.number("start-ms", 0, Integer.MAX_VALUE),
            line.number("release-ms", 0, Integer.MAX_VALUE),
            line.number("lease-ms", 0, Integer.MAX_VALUE));
    line.requireEnd(1);
    return parsed;
  }

  private Organisation organisation(TraceLine line) throws TraceFormatException {
    Organisation parsed =
        new Organisation(
            new OrganisationId(newName(line, "organisation")),
            line.decimal("weight", Double.MIN_VALUE, Double.MAX_VALUE),
            line.integer("quota", 0),
            1);
    line.requireEnd(2);
    return parsed;
  }

  private GuaranteedShape guarantee(TraceLine line) throws TraceFormatException {
    GuaranteedShape parsed =
        new GuaranteedShape(
            newName(line, "guarantee"),
            organisationOf(line),
            shape(line),
            line.integer("count", 1));
    line.requireEnd(2);
    return parsed;
  }

  private Worker worker(TraceLine line) throws TraceFormatException {
    Worker parsed =
        new Worker(
            new WorkerId(newName(line, "worker")),
            NO_ADDRESS,
            new FailureDomain(line.text("domain")),
            new RackId(line.text("rack")),
            capacity(line));
    line.requireEnd(2);
    return parsed;
  }

  private TraceEvent event(TraceLine line) throws TraceFormatException {
    long at = line.parse("time", line.word(1, "time"), 0, Long.MAX_VALUE);
    if (at < lastMillis) {
      throw line.error("time", at + " is before the line above, " + lastMillis);
    }
    lastMillis = at;
    String kind = line.word(2, "kind of event");
    TraceEvent event = event(line, at, kind);
    line.requireEnd(4);
    return event;
  }

  private TraceEvent event(TraceLine line, long at, String kind) throws TraceFormatException {
    return switch (kind) {
      case "submit" -> submission(line, at);
      case "cancel" -> new TraceEvent.Cancelled(at, new JobId(knownName(line, "job")));
      case "lapse" -> new TraceEvent.Lapsed(at, new WorkerId(knownName(line, "worker")));
      case "return" -> new TraceEvent.Returned(at, new WorkerId(knownName(line, "worker")));
      case "leave" -> new TraceEvent.Leaving(at, new WorkerId(knownName(line, "worker")));
      case "fail" ->
          new TraceEvent.Failing(
              at,
              new WorkerId(knownName(line, "worker")),
              line.number("after-s", 0, Integer.MAX_VALUE));
      case "mend" -> new TraceEvent.Recovered(at, new WorkerId(knownName(line, "worker")));
      default -> throw line.error(kind, "is not a kind of event");
    };
  }

  private TraceEvent submission(TraceLine line, long at) throws TraceFormatException {
    String name = line.word(3, "job");
    if (!names.add("job " + name)) {
      throw line.error("job", name + " stands twice");
    }
    Job job =
        new Job(
            new JobId(name),
            organisationOf(line),
            Optional.empty(),
            shape(line),
            line.flag("urgent"),
            line.flag("checkpointable"),
            line.number("declared-s", 1, Integer.MAX_VALUE),
            at,
            "trace");
    JobBehaviour behaviour =
        new JobBehaviour(
            line.number("runs-s", 1, Integer.MAX_VALUE),
            optionalNumber(line, "fails-after-s"),
            optionalNumber(line, "checkpoint-ms"));
    return new TraceEvent.Submitted(job, behaviour);
  }

  private static OptionalLong optionalNumber(TraceLine line, String name)
      throws TraceFormatException {
    if (line.optional(name).isEmpty()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(line.number(name, 0, Integer.MAX_VALUE));
  }

  private OrganisationId organisationOf(TraceLine line) throws TraceFormatException {
    String name = line.text("organisation");
    if (!names.contains("organisation " + name)) {
      throw line.error("organisation", name + " is not declared above");
    }
    return new OrganisationId(name);
  }

  private static Shape shape(TraceLine line) throws TraceFormatException {
    int members = (int) line.number("members", 1, Shape.MAX_MEMBERS);
    return new Shape(members, capacity(line), line.integer("max-racks", 0));
  }

  private static Capacity capacity(TraceLine line) throws TraceFormatException {
    return new Capacity(
        line.integer("accelerators", 0),
        line.integer("cores", 0),
        line.number("memory-mb", 0, Long.MAX_VALUE));
  }

  private String newName(TraceLine line, String kind) throws TraceFormatException {
    String name = line.word(1, kind);
    if (!names.add(kind + " " + name)) {
      throw line.error(kind, name + " stands twice");
    }
    return name;
  }

  private String knownName(TraceLine line, String kind) throws TraceFormatException {
    String name = line.word(3, kind);
    if (!names.contains(kind + " " + name)) {
      throw line.error(kind, name + " is not known above");
    }
    return name;
  }
}
