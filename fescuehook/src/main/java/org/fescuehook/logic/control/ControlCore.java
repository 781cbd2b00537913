package org.fescuehook.logic.control;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.append.Resolution;
import org.fescuehook.logic.control.configuration.ConfigurationHolder;
import org.fescuehook.logic.control.gang.GangDuty;
import org.fescuehook.logic.control.gang.Mode;
import org.fescuehook.logic.control.ownership.OutageWatch;
import org.fescuehook.logic.control.ownership.OwnerDuty;
import org.fescuehook.logic.control.ownership.PauseWatch;
import org.fescuehook.logic.control.ownership.PeerWatch;
import org.fescuehook.logic.control.ownership.ReaderWatch;
import org.fescuehook.logic.control.ownership.Understanding;
import org.fescuehook.logic.control.planning.JobEndDuty;
import org.fescuehook.logic.control.planning.PlanDuty;
import org.fescuehook.logic.control.request.RequestRouter;
import org.fescuehook.logic.control.shares.ShareDuty;
import org.fescuehook.logic.control.shares.ShareHolder;
import org.fescuehook.logic.control.snapshot.SnapshotDuty;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.logic.control.state.FoldResult;
import org.fescuehook.logic.control.state.RecordSubject;
import org.fescuehook.logic.scheduling.FaultyWorkerDetector;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.wire.ControlRecord;

/**
 * Folds the control stream and decides. Pure and single-threaded: the same events at the same times
 * give the same commands.
 */
public final class ControlCore {
  private final VmId vm;
  private final ControlStream stream = new ControlStream(this::folded);
  private final ReaderWatch reader;
  private final PeerWatch peers;
  private final PauseWatch pauses;
  private final OutageWatch outages;
  private final RecordWriter writer;
  private final OwnerDuty owner;
  private final GangDuty gangs;
  private final PlanDuty plans;
  private final JobEndDuty jobEnds;
  private final ShareDuty shares;
  private final ShareHolder shareHolder;
  private final SnapshotDuty snapshots;
  private final ConfigurationHolder configuration;
  private final RequestRouter requests;
  private boolean deciding;
  private boolean standingIn;
  private boolean current;

  /**
   * Creates a core that has read nothing.
   *
   * @param incarnation distinguishes starts of the same VM; never used twice
   */
  public ControlCore(
      IdentityPreferences identity,
      String incarnation,
      ControlPreferences preferences,
      Scheduler scheduler,
      DeclarationsReader declarationsReader) {
    vm = identity.vm();
    reader = new ReaderWatch(preferences.ownerTimeout());
    peers = new PeerWatch(vm);
    pauses = new PauseWatch(preferences.ownerTimeout().dividedBy(2));
    outages = new OutageWatch(vm, reader, peers);
    writer = new RecordWriter(vm, incarnation);
    owner = new OwnerDuty(vm, incarnation, preferences, writer, reader, peers);
    gangs = new GangDuty(preferences, writer, peers);
    plans = new PlanDuty(scheduler, new FaultyWorkerDetector(), writer, gangs);
    jobEnds = new JobEndDuty(writer);
    shares = new ShareDuty(writer, peers);
    shareHolder = new ShareHolder(vm, peers);
    snapshots = new SnapshotDuty(preferences, writer);
    configuration = new ConfigurationHolder(declarationsReader);
    requests =
        new RequestRouter(vm, incarnation, scheduler, declarationsReader, writer, reader, owner);
  }

  /**
   * Applies one event.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   * @return what is to be done, in order
   */
  public List<ControlCommand> apply(ControlEvent event, long nowNanos, long wallMillis) {
    Turn turn = new Turn(nowNanos, wallMillis);
    if (pauses.wasPaused(turn)) {
      reader.paused(turn);
    }
    switch (event) {
      case ControlEvent.RecordRead(var record) -> stream.read(record, turn);
      case ControlEvent.CaughtUp(long earliest, long next) -> caughtUp(earliest, next, turn);
      case ControlEvent.LogUnreachable() -> reader.unreachable();
      case ControlEvent.AppendFailed(long sequence, boolean certain) ->
          resolve(writer.failed(sequence, certain, turn), turn);
      case ControlEvent.WorkerAnswered(var reply) -> gangs.answered(reply, turn);
      case ControlEvent.MembersListed(var members) -> peers.listed(members, turn);
      case ControlEvent.PeersHeard(var alive, var reachingLog, var draining) ->
          peers.heard(alive, reachingLog, draining, turn);
      case ControlEvent.PeersFolded(var nextOffsets) -> peers.folded(nextOffsets);
      case ControlEvent.Asked(long ticket, Request request) -> asked(ticket, request, turn);
      case ControlEvent.Tick() -> {}
    }
    if (!(event instanceof ControlEvent.RecordRead)) {
      step(turn);
    }
    return turn.commands();
  }

  private void caughtUp(long earliest, long next, Turn turn) {
    stream.keptFrom(earliest, turn);
    if (stream.nextOffset() < next) {
      turn.count("fescuehook.control.reads.incomplete");
      return;
    }
    reader.caughtUp(turn);
    snapshots.caughtUp(earliest, turn);
    if (stream.complete() && configuration.take(stream.state(), turn)) {
      plans.stateChanged();
    }
  }

  /** Takes in a record that was just folded. */
  private void folded(ControlRecord record, long offset, FoldResult result, Turn turn) {
    ControlState state = stream.state();
    boolean counted = result == FoldResult.COUNTED;
    if (counted) {
      counted(record, turn);
    }
    shareHolder.folded(state.shares(), offset + 1, turn);
    resolve(writer.read(record, result, offset), turn);
  }

  private void counted(ControlRecord record, Turn turn) {
    ControlState state = stream.state();
    if (state.inForce(record) || record.hasOwnerClaim()) {
      owner.sign(turn);
    }
    if (owner.owns(state)) {
      DecisionNotes.write(record, turn);
    }
    if (record.hasSnapshotPart()) {
      snapshots.read(record, turn);
    }
    if (record.hasOwnerClaim() && current) {
      turn.note(ControlLogEvent.OWNER_CHANGED, record.getWriter(), state.epoch());
    }
    RecordSubject.job(record)
        .ifPresent(
            job -> {
              gangs.folded(job);
              jobEnds.folded(job);
              plans.stateChanged();
              requests.folded(job, state, turn);
            });
  }

  private void resolve(List<Resolution> resolutions, Turn turn) {
    for (Resolution resolution : resolutions) {
      requests.resolved(resolution, stream.state(), turn);
    }
  }

  private void asked(long ticket, Request request, Turn turn) {
    Set<WorkerId> unavailable = unavailableWorkers(turn);
    boolean readable = stream.complete() && reader.everCurrent();
    RequestRouter.Situation situation =
        new RequestRouter.Situation(
            stream.state(), configuration.inForce(), readable, unavailable, summary());
    requests.asked(ticket, request, situation, turn);
  }

  private Set<WorkerId> unavailableWorkers(Turn turn) {
    Set<WorkerId> unavailable = new HashSet<>(gangs.restingWorkers(turn));
    unavailable.addAll(peers.leavingWorkers());
    return unavailable;
  }

  private void step(Turn turn) {
    current = stream.complete() && reader.current(turn);
    outages.step(turn);
    if (stream.complete()) {
      stepDuties(turn);
    }
    requests.step(stream.state(), turn);
    if (current) {
      shareHolder.step(turn);
      writer.settle(turn);
    } else {
      shareHolder.giveUpIfIsolated(turn);
    }
  }

  private void stepDuties(Turn turn) {
    ControlState state = stream.state();
    Understanding understanding = understanding(state);
    owner.step(state, understanding, turn);
    boolean decides = owner.decides(state, turn) && understanding != Understanding.PARTIAL;
    changeDeciding(decides, turn);
    gangs.step(state, mode(decides, turn), stream.nextOffset(), turn);
    if (decides) {
      decide(state, turn);
    }
  }

  private Understanding understanding(ControlState state) {
    if (stream.newerSeen()) {
      return Understanding.PARTIAL;
    }
    return configuration.unreadable(state) ? Understanding.NO_CONFIGURATION : Understanding.WHOLE;
  }

  private Mode mode(boolean decides, Turn turn) {
    if (decides) {
      return Mode.DECIDE;
    }
    ControlState state = stream.state();
    boolean owns = owner.owns(state);
    Mode mode = outages.mode(state.owner(), owns, turn);
    boolean standsIn = mode == Mode.RENEW && !owns;
    if (standsIn && !standingIn) {
      String name = state.owner().map(VmId::value).orElse("none");
      turn.note(ControlLogEvent.RENEWING_FOR_OWNER, name, state.jobs().liveCount());
    }
    standingIn = standsIn;
    return mode;
  }

  private void changeDeciding(boolean decides, Turn turn) {
    if (decides == deciding) {
      return;
    }
    deciding = decides;
    ControlState state = stream.state();
    if (decides) {
      turn.note(ControlLogEvent.BECAME_OWNER, state.epoch(), state.jobs().liveCount());
      jobEnds.begin(state);
      plans.stateChanged();
    } else {
      turn.note(ControlLogEvent.LOST_OWNERSHIP, state.epoch());
      jobEnds.end();
    }
  }

  private void decide(ControlState state, Turn turn) {
    snapshots.step(state, stream.nextOffset(), turn);
    if (configuration.inForce().isEmpty() || !configuration.readable(state)) {
      return;
    }
    Declarations declarations = configuration.inForce().get().declarations();
    jobEnds.step(state, declarations, turn);
    plans.step(state, declarations, unavailableWorkers(turn), turn);
    shares.step(state, declarations, turn);
  }

  /** Returns the offset after the last folded record; the next read starts there. */
  public long nextOffset() {
    return stream.nextOffset();
  }

  /** Tells whether this VM is the owner as far as it has read. */
  public boolean owner() {
    return owner.owns(stream.state());
  }

  /** Returns the state as far as it was read. */
  ControlState state() {
    return stream.state();
  }

  /** Returns the state at a glance. */
  public ControlSummary summary() {
    ControlState state = stream.state();
    return new ControlSummary(
        state.owner(),
        state.epoch(),
        configuration.inForce().map(Configuration::revision).orElse(Configuration.NO_REVISION),
        configuration.inForce(),
        stream.nextOffset(),
        current,
        state.jobs().waitingCount(),
        state.jobs().liveCount(),
        writer.unreadCount(),
        stream.skipped());
  }
}
