package org.fescuehook.logic.control;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.append.RecordOutcome;
import org.fescuehook.logic.control.append.RecordWriter;
import org.fescuehook.logic.control.configuration.ConfigurationHolder;
import org.fescuehook.logic.control.gang.GangDuty;
import org.fescuehook.logic.control.gang.GangMode;
import org.fescuehook.logic.control.ownership.CatchUpTracker;
import org.fescuehook.logic.control.ownership.LogCompatibility;
import org.fescuehook.logic.control.ownership.OutageMonitor;
import org.fescuehook.logic.control.ownership.OwnerDuty;
import org.fescuehook.logic.control.ownership.PauseDetector;
import org.fescuehook.logic.control.ownership.PeerTracker;
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
 * Applies the records of the control stream and makes the decisions of the owner. The core does no
 * input or output and is confined to one thread: the same events at the same times give the same
 * commands, so a recorded trace can be replayed.
 */
public final class ControlCore {
  private final VmId vm;
  private final ControlStream stream = new ControlStream(this::applied);
  private final CatchUpTracker catchUp;
  private final PeerTracker peers;
  private final PauseDetector pauseDetector;
  private final OutageMonitor outageMonitor;
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
  private boolean renewingForOwner;
  private boolean current;

  /**
   * Creates a core that has not read any record.
   *
   * @param incarnation identifies this process among all processes of the VM; never reused
   */
  public ControlCore(
      IdentityPreferences identity,
      String incarnation,
      ControlPreferences preferences,
      Scheduler scheduler,
      DeclarationsReader declarationsReader) {
    vm = identity.vm();
    catchUp = new CatchUpTracker(preferences.ownerTimeout());
    peers = new PeerTracker(vm);
    pauseDetector = new PauseDetector(preferences.ownerTimeout().dividedBy(2));
    outageMonitor = new OutageMonitor(vm, catchUp, peers);
    writer = new RecordWriter(vm, incarnation);
    owner = new OwnerDuty(vm, incarnation, preferences, writer, catchUp, peers);
    gangs = new GangDuty(preferences, writer, peers);
    plans = new PlanDuty(scheduler, new FaultyWorkerDetector(), writer, gangs);
    jobEnds = new JobEndDuty(writer);
    shares = new ShareDuty(writer, peers);
    shareHolder = new ShareHolder(vm, peers);
    snapshots = new SnapshotDuty(preferences, writer);
    configuration = new ConfigurationHolder(declarationsReader);
    requests =
        new RequestRouter(vm, incarnation, scheduler, declarationsReader, writer, catchUp, owner);
  }

  /**
   * Applies one event.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   * @return the commands to execute, in order
   */
  public List<ControlCommand> apply(ControlEvent event, long nowNanos, long wallMillis) {
    DecisionContext context = new DecisionContext(nowNanos, wallMillis);
    if (pauseDetector.wasPaused(context)) {
      catchUp.paused(context);
    }
    switch (event) {
      case ControlEvent.RecordRead(var record) -> stream.read(record, context);
      case ControlEvent.CaughtUp(long earliest, long next) -> caughtUp(earliest, next, context);
      case ControlEvent.LogUnreachable() -> catchUp.unreachable();
      case ControlEvent.AppendFailed(long sequence, boolean certain) ->
          resolve(writer.failed(sequence, certain, context), context);
      case ControlEvent.WorkerAnswered(var reply) -> gangs.answered(reply, context);
      case ControlEvent.MembersListed(var members) -> peers.listed(members, context);
      case ControlEvent.PeersHeard(var alive, var reachingLog, var draining) ->
          peers.heard(alive, reachingLog, draining, context);
      case ControlEvent.PeersFolded(var nextOffsets) -> peers.peersApplied(nextOffsets);
      case ControlEvent.Asked(long ticket, Request request) ->
          handleRequest(ticket, request, context);
      case ControlEvent.Tick() -> {}
    }
    if (!(event instanceof ControlEvent.RecordRead)) {
      step(context);
    }
    return context.commands();
  }

  private void caughtUp(long earliest, long next, DecisionContext context) {
    stream.noteEarliest(earliest, context);
    if (stream.nextOffset() < next) {
      context.count("fescuehook.control.reads.incomplete");
      return;
    }
    catchUp.caughtUp(context);
    snapshots.caughtUp(earliest, context);
    if (stream.complete() && configuration.update(stream.state(), context)) {
      plans.stateChanged();
    }
  }

  /** Handles a record that was just applied to the state. */
  private void applied(
      ControlRecord record, long offset, FoldResult result, DecisionContext context) {
    ControlState state = stream.state();
    boolean counted = result == FoldResult.COUNTED;
    if (counted) {
      tookEffect(record, context);
    }
    shareHolder.sharesPublished(state.shares(), offset + 1, context);
    resolve(writer.read(record, result, offset), context);
  }

  private void tookEffect(ControlRecord record, DecisionContext context) {
    ControlState state = stream.state();
    if (state.inForce(record) || record.hasOwnerClaim()) {
      owner.ownerSeen(context);
    }
    if (owner.owns(state)) {
      DecisionLogger.log(record, context);
    }
    if (record.hasSnapshotPart()) {
      snapshots.read(record, context);
    }
    if (record.hasOwnerClaim() && current) {
      context.note(ControlLogEvent.OWNER_CHANGED, record.getWriter(), state.epoch());
    }
    RecordSubject.job(record)
        .ifPresent(
            job -> {
              gangs.jobChanged(job);
              jobEnds.jobChanged(job);
              plans.stateChanged();
              requests.jobChanged(job, state, context);
            });
  }

  private void resolve(List<RecordOutcome> outcomes, DecisionContext context) {
    for (RecordOutcome outcome : outcomes) {
      requests.resolved(outcome, stream.state(), context);
    }
  }

  private void handleRequest(long ticket, Request request, DecisionContext context) {
    Set<WorkerId> unavailable = unavailableWorkers(context);
    boolean readable = stream.complete() && catchUp.everCurrent();
    RequestRouter.ClusterView cluster =
        new RequestRouter.ClusterView(
            stream.state(), configuration.inForce(), readable, unavailable, summary());
    requests.handle(ticket, request, cluster, context);
  }

  private Set<WorkerId> unavailableWorkers(DecisionContext context) {
    Set<WorkerId> unavailable = new HashSet<>(gangs.workersInBackoff(context));
    unavailable.addAll(peers.leavingWorkers());
    return unavailable;
  }

  private void step(DecisionContext context) {
    current = stream.complete() && catchUp.current(context);
    outageMonitor.step(context);
    if (stream.complete()) {
      stepDuties(context);
    }
    requests.step(stream.state(), context);
    if (current) {
      shareHolder.step(context);
      writer.appendBarrierIfDue(context);
    } else {
      shareHolder.giveUpIfIsolated(context);
    }
  }

  private void stepDuties(DecisionContext context) {
    ControlState state = stream.state();
    LogCompatibility compatibility = compatibility(state);
    owner.step(state, compatibility, context);
    boolean decides = owner.decides(state, context) && compatibility != LogCompatibility.PARTIAL;
    changeDeciding(decides, context);
    gangs.step(state, mode(decides, context), stream.nextOffset(), context);
    if (decides) {
      decide(state, context);
    }
  }

  private LogCompatibility compatibility(ControlState state) {
    if (stream.newerSeen()) {
      return LogCompatibility.PARTIAL;
    }
    return configuration.unreadable(state)
        ? LogCompatibility.NO_CONFIGURATION
        : LogCompatibility.WHOLE;
  }

  private GangMode mode(boolean decides, DecisionContext context) {
    if (decides) {
      return GangMode.DECIDE;
    }
    ControlState state = stream.state();
    boolean owns = owner.owns(state);
    GangMode mode = outageMonitor.mode(state.owner(), owns, context);
    boolean renewsForOwner = mode == GangMode.RENEW && !owns;
    if (renewsForOwner && !renewingForOwner) {
      String name = state.owner().map(VmId::value).orElse("none");
      context.note(ControlLogEvent.RENEWING_FOR_OWNER, name, state.jobs().liveCount());
    }
    renewingForOwner = renewsForOwner;
    return mode;
  }

  private void changeDeciding(boolean decides, DecisionContext context) {
    if (decides == deciding) {
      return;
    }
    deciding = decides;
    ControlState state = stream.state();
    if (decides) {
      context.note(ControlLogEvent.BECAME_OWNER, state.epoch(), state.jobs().liveCount());
      jobEnds.begin(state);
      plans.stateChanged();
    } else {
      context.note(ControlLogEvent.LOST_OWNERSHIP, state.epoch());
      jobEnds.end();
    }
  }

  private void decide(ControlState state, DecisionContext context) {
    snapshots.step(state, stream.nextOffset(), context);
    if (configuration.inForce().isEmpty() || !configuration.readable(state)) {
      return;
    }
    Declarations declarations = configuration.inForce().get().declarations();
    jobEnds.step(state, declarations, context);
    plans.step(state, declarations, unavailableWorkers(context), context);
    shares.step(state, declarations, context);
  }

  /** Returns the offset after the last applied record; the next read starts there. */
  public long nextOffset() {
    return stream.nextOffset();
  }

  /** Returns whether this VM is the owner according to the records read so far. */
  public boolean owner() {
    return owner.owns(stream.state());
  }

  /** Returns the state after the records read so far. */
  ControlState state() {
    return stream.state();
  }

  /** Returns a summary of the state, for operators and metrics. */
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
        writer.pendingCount(),
        stream.skipped());
  }
}
