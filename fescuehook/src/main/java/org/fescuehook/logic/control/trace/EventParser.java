package org.fescuehook.logic.control.trace;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.platform.MemberList;
import org.fescuehook.logic.worker.WorkerPort.LeaseState;
import org.fescuehook.logic.worker.WorkerPort.State;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.logic.worker.WorkerPort.WorkerReply;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.job.Shape;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.model.organisation.OrganisationId;

/** Parses events encoded by {@link EventEncoder}. */
final class EventParser {

  private EventParser() {}

  static ControlEvent parse(TraceFields fields) throws InvalidTraceException {
    try {
      ControlEvent event = event(fields);
      fields.end();
      return event;
    } catch (IllegalArgumentException e) {
      throw fields.fault("value", String.valueOf(e.getMessage()));
    }
  }

  private static ControlEvent event(TraceFields fields) throws InvalidTraceException {
    String word = fields.word("event");
    return switch (word) {
      case "record" ->
          new ControlEvent.RecordRead(
              new LogRecord(
                  fields.number("offset"), fields.number("appended"), fields.bytes("data")));
      case "caught-up" ->
          new ControlEvent.CaughtUp(fields.number("earliest"), fields.number("next"));
      case "log-unreachable" -> new ControlEvent.LogUnreachable();
      case "append-failed" ->
          new ControlEvent.AppendFailed(fields.number("sequence"), fields.flag("certain"));
      case "members" -> members(fields);
      case "peers-heard" -> new ControlEvent.PeersHeard(vms(fields), vms(fields), vms(fields));
      case "peers-folded" -> folded(fields);
      case "asked" -> new ControlEvent.Asked(fields.number("ticket"), request(fields));
      case "tick" -> new ControlEvent.Tick();
      default -> new ControlEvent.WorkerAnswered(reply(word, fields));
    };
  }

  private static Set<VmId> vms(TraceFields fields) throws InvalidTraceException {
    int count = fields.count("number of VMs");
    Set<VmId> vms = new HashSet<>();
    for (int i = 0; i < count; i++) {
      vms.add(new VmId(fields.text("VM")));
    }
    return vms;
  }

  private static ControlEvent folded(TraceFields fields) throws InvalidTraceException {
    int count = fields.count("number of VMs");
    Map<VmId, Long> offsets = new HashMap<>();
    for (int i = 0; i < count; i++) {
      offsets.put(new VmId(fields.text("VM")), fields.number("offset"));
    }
    return new ControlEvent.PeersFolded(offsets);
  }

  private static ControlEvent members(TraceFields fields) throws InvalidTraceException {
    int count = fields.count("number of members");
    List<MemberList.Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(
          new MemberList.Member(
              fields.text("name"),
              fields.value("role", MemberList.Role.class),
              fields.flag("leaving"),
              fields.text("host"),
              fields.intNumber("port")));
    }
    return new ControlEvent.MembersListed(members);
  }

  private static WorkerReply reply(String word, TraceFields fields) throws InvalidTraceException {
    return switch (word) {
      case "granted" ->
          new WorkerReply.Granted(worker(fields), fields.text("key"), fields.text("lease"));
      case "grant-refused" ->
          new WorkerReply.GrantRefused(worker(fields), fields.text("key"), fields.text("reason"));
      case "states" -> states(fields);
      case "silent" -> {
        WorkerId worker = worker(fields);
        String step = fields.text("step");
        yield new WorkerReply.Silent(worker, command(fields), step);
      }
      default -> throw fields.fault("event", "unknown event " + word);
    };
  }

  private static WorkerId worker(TraceFields fields) throws InvalidTraceException {
    return new WorkerId(fields.text("worker"));
  }

  private static WorkerReply states(TraceFields fields) throws InvalidTraceException {
    WorkerId worker = worker(fields);
    int count = fields.count("number of leases");
    List<State> states = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      states.add(
          new State(
              fields.text("lease"),
              fields.value("state", LeaseState.class),
              fields.intNumber("exit code")));
    }
    return new WorkerReply.States(worker, states);
  }

  private static WorkerCommand command(TraceFields fields) throws InvalidTraceException {
    String word = fields.word("command");
    return switch (word) {
      case "grant" ->
          new WorkerCommand.Grant(
              fields.text("key"),
              fields.intNumber("accelerators"),
              fields.intNumber("cores"),
              fields.number("memory"),
              fields.number("ttl"));
      case "start" ->
          new WorkerCommand.Start(
              fields.text("lease"),
              fields.text("job"),
              fields.text("attempt"),
              fields.intNumber("member"),
              fields.text("command"));
      case "renew" -> renew(fields);
      case "checkpoint" -> new WorkerCommand.Checkpoint(fields.text("lease"));
      case "throttle" ->
          new WorkerCommand.Throttle(fields.text("lease"), fields.intNumber("percent"));
      case "release" -> new WorkerCommand.Release(fields.text("lease"));
      default -> throw fields.fault("command", "unknown command " + word);
    };
  }

  private static WorkerCommand renew(TraceFields fields) throws InvalidTraceException {
    long ttl = fields.number("ttl");
    int count = fields.count("number of leases");
    List<String> leases = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      leases.add(fields.text("lease"));
    }
    return new WorkerCommand.Renew(leases, ttl);
  }

  private static Request request(TraceFields fields) throws InvalidTraceException {
    String word = fields.word("request");
    return switch (word) {
      case "submit" -> submit(fields);
      case "cancel" -> new Request.Cancel(new JobId(fields.text("job")));
      case "show" -> new Request.Show(new JobId(fields.text("job")), fields.number("wait"));
      case "explain" -> new Request.Explain(new JobId(fields.text("job")));
      case "publish" ->
          new Request.Publish(
              fields.number("base"),
              fields.text("author"),
              fields.text("reason"),
              fields.text("declarations"));
      case "status" -> new Request.Status();
      case "hand-over" -> new Request.HandOver();
      default -> throw fields.fault("request", "unknown request " + word);
    };
  }

  private static Request submit(TraceFields fields) throws InvalidTraceException {
    OrganisationId organisation = new OrganisationId(fields.text("organisation"));
    boolean named = fields.flag("request id given");
    Optional<String> requestId = Optional.of(fields.text("request id")).filter(id -> named);
    int members = fields.intNumber("members");
    Capacity unit =
        new Capacity(
            fields.intNumber("accelerators"), fields.intNumber("cores"), fields.number("memory"));
    return new Request.Submit(
        organisation,
        requestId,
        new Shape(members, unit, fields.intNumber("racks")),
        fields.flag("urgent"),
        fields.flag("checkpointable"),
        fields.number("declared seconds"),
        fields.text("command"));
  }
}
