package org.fescuehook.logic.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.platform.MemberList;
import org.fescuehook.logic.worker.WorkerPort;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.log.LogRecord;

/** What the decision core reacts to. */
public sealed interface ControlEvent {

  /** A record of the control stream, in the order of offsets. */
  record RecordRead(LogRecord record) implements ControlEvent {}

  /** A read reached the end of the stream. */
  record CaughtUp(long earliest, long next) implements ControlEvent {}

  /** A read failed. */
  record LogUnreachable() implements ControlEvent {}

  /** An append ended without the offset being known; {@code certain} if it is surely not there. */
  record AppendFailed(long sequence, boolean certain) implements ControlEvent {}

  /** A worker answered, or did not. */
  record WorkerAnswered(WorkerPort.WorkerReply reply) implements ControlEvent {}

  /** The list of VMs was fetched. */
  record MembersListed(List<MemberList.Member> members) implements ControlEvent {}

  /** Which peers have been heard within their timeout, and which of those reach the log. */
  record PeersHeard(Set<VmId> alive, Set<VmId> reachingLog, Set<VmId> draining)
      implements ControlEvent {}

  /** Offset after the last record that each peer heard lately has folded. */
  record PeersFolded(Map<VmId, Long> nextOffsets) implements ControlEvent {}

  /** A caller or operator asks; the answer carries the same ticket. */
  record Asked(long ticket, ControlPort.Request request) implements ControlEvent {}

  /** Time has passed. */
  record Tick() implements ControlEvent {}
}
