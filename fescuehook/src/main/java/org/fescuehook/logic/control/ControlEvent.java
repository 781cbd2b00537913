package org.fescuehook.logic.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.platform.MemberList;
import org.fescuehook.logic.worker.WorkerPort;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.log.LogRecord;

/** An input of the decision core. */
public sealed interface ControlEvent {

  /** A record of the control stream was read; records come in the order of their offsets. */
  record RecordRead(LogRecord record) implements ControlEvent {}

  /**
   * A read reached the end of the stream; {@code earliest} is the offset of the oldest record still
   * stored, {@code next} the offset after the newest.
   */
  record CaughtUp(long earliest, long next) implements ControlEvent {}

  /** A read of the control stream failed. */
  record LogUnreachable() implements ControlEvent {}

  /**
   * An append ended without a known offset; {@code certain} if the record is known not to be in the
   * log.
   */
  record AppendFailed(long sequence, boolean certain) implements ControlEvent {}

  /** A worker answered a command, or did not answer it in time. */
  record WorkerAnswered(WorkerPort.WorkerReply reply) implements ControlEvent {}

  /** The member list of VMs was fetched. */
  record MembersListed(List<MemberList.Member> members) implements ControlEvent {}

  /**
   * The peers whose heartbeats arrived within the peer timeout, those of them that reach the log,
   * and those that are draining.
   */
  record PeersHeard(Set<VmId> alive, Set<VmId> reachingLog, Set<VmId> draining)
      implements ControlEvent {}

  /** The offset after the last record that each recently heard peer has applied. */
  record PeersFolded(Map<VmId, Long> nextOffsets) implements ControlEvent {}

  /** A caller or operator sent a request; the answer carries the same ticket. */
  record Asked(long ticket, ControlPort.Request request) implements ControlEvent {}

  /** A periodic event that lets time-dependent work proceed. */
  record Tick() implements ControlEvent {}
}
