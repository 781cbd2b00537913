package org.fescuehook.logic.control;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.SlotShare;

/** One entry VM of a virtual cluster, with what its core requested. */
final class VirtualVm {
  final VmId id;
  final ControlCore core;
  final List<ControlEvent> backlog = new ArrayList<>();
  final List<Runnable> sendBuffer = new ArrayList<>();
  final Map<Long, Answer> answers = new LinkedHashMap<>();
  final List<Long> revisions = new ArrayList<>();
  final Map<String, SlotShare> shares = new TreeMap<>();
  final List<ControlRecord> appended = new ArrayList<>();
  final List<ControlCommand.Send> sent = new ArrayList<>();
  final List<String> logEvents = new ArrayList<>();
  final List<String> trace = new ArrayList<>();
  final Set<WorkerId> unreachableWorkers = new HashSet<>();
  boolean recording;
  boolean paused;
  boolean dead;
  boolean logUnreachable;
  boolean peersUnreachable;
  boolean unlisted;
  long appenderFreeNanos;
  long deadSinceNanos;

  VirtualVm(VmId id, ControlCore core) {
    this.id = id;
    this.core = core;
  }

  void recordCommand(ControlCommand command) {
    switch (command) {
      case ControlCommand.Append(ControlRecord record) -> appended.add(record);
      case ControlCommand.Send send -> sent.add(send);
      case ControlCommand.Reply(long ticket, Answer answer) -> answers.put(ticket, answer);
      case ControlCommand.ConfigurationInForce(var configuration) ->
          revisions.add(configuration.revision());
      case ControlCommand.SharesInForce(var now) -> {
        shares.clear();
        now.getSharesList().forEach(share -> shares.put(share.getExecutor(), share));
      }
      case ControlCommand.Note note ->
          logEvents.add(note.event() + " " + List.of(note.arguments()));
      case ControlCommand.Count count -> {}
    }
  }
}
