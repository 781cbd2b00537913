package org.fescuehook.logic.control.trace;

import java.util.Collection;
import java.util.TreeMap;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.platform.MemberList;
import org.fescuehook.logic.worker.WorkerPort.State;
import org.fescuehook.logic.worker.WorkerPort.WorkerCommand;
import org.fescuehook.logic.worker.WorkerPort.WorkerReply;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.log.LogRecord;

/** Encodes events as text. */
final class EventEncoder {

  private EventEncoder() {}

  static String encode(ControlEvent event) {
    return switch (event) {
      case ControlEvent.RecordRead(LogRecord record) ->
          new TraceLine("record")
              .add(record.offset())
              .add(record.appendedMillis())
              .add(record.data())
              .toString();
      case ControlEvent.CaughtUp(long earliest, long next) ->
          new TraceLine("caught-up").add(earliest).add(next).toString();
      case ControlEvent.LogUnreachable() -> "log-unreachable";
      case ControlEvent.AppendFailed(long sequence, boolean certain) ->
          new TraceLine("append-failed").add(sequence).add(certain).toString();
      case ControlEvent.WorkerAnswered(WorkerReply reply) -> reply(reply);
      case ControlEvent.MembersListed listed -> members(listed);
      case ControlEvent.PeersHeard(var alive, var reachingLog, var draining) ->
          names(names(names(new TraceLine("peers-heard"), alive), reachingLog), draining)
              .toString();
      case ControlEvent.PeersFolded folded -> folded(folded);
      case ControlEvent.Asked(long ticket, Request request) ->
          new TraceLine("asked").add(ticket).addLine(request(request)).toString();
      case ControlEvent.Tick() -> "tick";
    };
  }

  private static TraceLine names(TraceLine line, Collection<VmId> vms) {
    line.add(vms.size());
    vms.stream().sorted().forEach(vm -> line.add(vm.value()));
    return line;
  }

  private static String folded(ControlEvent.PeersFolded folded) {
    TraceLine line = new TraceLine("peers-folded").add(folded.nextOffsets().size());
    new TreeMap<>(folded.nextOffsets()).forEach((vm, offset) -> line.add(vm.value()).add(offset));
    return line.toString();
  }

  private static String members(ControlEvent.MembersListed listed) {
    TraceLine line = new TraceLine("members").add(listed.members().size());
    for (MemberList.Member member : listed.members()) {
      line.add(member.name())
          .add(member.role())
          .add(member.leaving())
          .add(member.host())
          .add(member.port());
    }
    return line.toString();
  }

  private static String reply(WorkerReply reply) {
    return switch (reply) {
      case WorkerReply.Granted granted ->
          new TraceLine("granted")
              .add(granted.worker().value())
              .add(granted.key())
              .add(granted.lease())
              .toString();
      case WorkerReply.GrantRefused refused ->
          new TraceLine("grant-refused")
              .add(refused.worker().value())
              .add(refused.key())
              .add(refused.reason())
              .toString();
      case WorkerReply.States states -> states(states);
      case WorkerReply.Silent silent ->
          new TraceLine("silent")
              .add(silent.worker().value())
              .add(silent.step())
              .addLine(command(silent.command()))
              .toString();
    };
  }

  private static String states(WorkerReply.States states) {
    TraceLine line =
        new TraceLine("states").add(states.worker().value()).add(states.states().size());
    for (State state : states.states()) {
      line.add(state.lease()).add(state.state()).add(state.exitCode());
    }
    return line.toString();
  }

  static String command(WorkerCommand command) {
    return switch (command) {
      case WorkerCommand.Grant grant ->
          new TraceLine("grant")
              .add(grant.key())
              .add(grant.accelerators())
              .add(grant.cores())
              .add(grant.memoryMegabytes())
              .add(grant.ttlMillis())
              .toString();
      case WorkerCommand.Start start ->
          new TraceLine("start")
              .add(start.lease())
              .add(start.job())
              .add(start.attempt())
              .add(start.member())
              .add(start.command())
              .toString();
      case WorkerCommand.Renew renew -> {
        TraceLine line = new TraceLine("renew").add(renew.ttlMillis()).add(renew.leases().size());
        renew.leases().forEach(line::add);
        yield line.toString();
      }
      case WorkerCommand.Checkpoint(String lease) ->
          new TraceLine("checkpoint").add(lease).toString();
      case WorkerCommand.Throttle(String lease, int percent) ->
          new TraceLine("throttle").add(lease).add(percent).toString();
      case WorkerCommand.Release(String lease) -> new TraceLine("release").add(lease).toString();
    };
  }

  private static String request(Request request) {
    return switch (request) {
      case Request.Submit submit -> submit(submit);
      case Request.Cancel(JobId job) -> new TraceLine("cancel").add(job.value()).toString();
      case Request.Show(JobId job, long waitMillis) ->
          new TraceLine("show").add(job.value()).add(waitMillis).toString();
      case Request.Explain(JobId job) -> new TraceLine("explain").add(job.value()).toString();
      case Request.Publish publish ->
          new TraceLine("publish")
              .add(publish.baseRevision())
              .add(publish.author())
              .add(publish.reason())
              .add(publish.declarations())
              .toString();
      case Request.Status() -> "status";
      case Request.HandOver() -> "hand-over";
    };
  }

  private static String submit(Request.Submit submit) {
    return new TraceLine("submit")
        .add(submit.organisation().value())
        .add(submit.requestId().isPresent())
        .add(submit.requestId().orElse(""))
        .add(submit.shape().members())
        .add(submit.shape().perMember().accelerators())
        .add(submit.shape().perMember().cores())
        .add(submit.shape().perMember().memoryMegabytes())
        .add(submit.shape().maxRacks())
        .add(submit.urgent())
        .add(submit.checkpointable())
        .add(submit.declaredSeconds())
        .add(submit.command())
        .toString();
  }
}
