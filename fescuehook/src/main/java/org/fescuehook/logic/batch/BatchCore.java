package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.fescuehook.logic.batch.admission.ConfigurationAge;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.logic.batch.ownership.OwnerIdentity;
import org.fescuehook.logic.batch.ownership.OwnershipDuty;
import org.fescuehook.logic.batch.ownership.StoreReachability;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.JobRegistry;
import org.fescuehook.logic.batch.statistics.SpeedRecord;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.batch.MaintenanceWave;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.preferences.BatchPreferences;

/**
 * The state machine of batch scheduling on one VM. While this VM is the owner of the batch jobs, it
 * schedules them; otherwise it watches the owner and takes over if that fails. It is used by a
 * single thread and reads no clock and no network: the same events at the same times give the same
 * commands.
 */
public final class BatchCore {

  /** Longest time that a stopping owner waits for its last changes to be stored. */
  private static final long STOP_TIMEOUT_NANOS = Duration.ofMillis(1500).toNanos();

  /**
   * Age of the last confirmed heartbeat up to which the store counts as reachable, so that another
   * VM could take over as well.
   */
  private static final Duration STORE_REACHABLE_AGE = Duration.ofMillis(1000);

  private final BatchPreferences preferences;
  private final RetryDelays retryDelays;
  private final OwnershipDuty ownership;
  private final Map<ExecutorId, ExecutorProfile> listed = new LinkedHashMap<>();
  private boolean executorsRead;
  private final ConfigurationAge configurationAge = new ConfigurationAge();
  private Optional<BatchConfiguration> configuration = Optional.empty();
  private Optional<Set<FailureDomain>> evacuated = Optional.empty();

  /** The waves that operators ask for; they are read before the evacuated failure domains. */
  private List<MaintenanceWave> waves = List.of();

  private Optional<Takeover> takeover = Optional.empty();
  private Optional<BatchOwner> owner = Optional.empty();
  private OptionalLong stoppingSince = OptionalLong.empty();
  private boolean retired;

  /** Creates a core that is not the owner and knows no configuration, owner or executor. */
  public BatchCore(OwnerIdentity self, BatchPreferences preferences) {
    this.preferences = preferences;
    this.retryDelays = new RetryDelays(preferences.scheduling().backlogAdmission());
    this.ownership = new OwnershipDuty(self);
  }

  /**
   * Applies one event after which no other event waits.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   * @return the commands to execute, in order
   */
  public List<BatchCommand> apply(BatchEvent event, long nowNanos, long wallMillis) {
    return apply(event, nowNanos, wallMillis, false);
  }

  /**
   * Applies one event.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   * @param moreEventsQueued whether further events are queued; planning is then postponed for a
   *     short time
   * @return the commands to execute, in order
   */
  public List<BatchCommand> apply(
      BatchEvent event, long nowNanos, long wallMillis, boolean moreEventsQueued) {
    BatchContext context = new BatchContext(nowNanos, wallMillis, moreEventsQueued);
    handle(event, context);
    step(context);
    return context.commands();
  }

  /** Returns the owner to report to peers: this VM if it is the owner, else the one it knows of. */
  public Optional<OwnerHint> ownerHint() {
    return ownership.hint();
  }

  /**
   * Returns the shortest time until this VM could claim ownership, during which no {@link
   * BatchEvent.Tick} is needed; zero while this VM is the owner, takes over or stops. Any event may
   * shorten this time.
   *
   * @param nowNanos monotonic time
   */
  public Duration minTimeToClaim(long nowNanos) {
    boolean standby = owner.isEmpty() && takeover.isEmpty() && stoppingSince.isEmpty();
    return standby ? ownership.minTimeToClaim(nowNanos) : Duration.ZERO;
  }

  /** Returns whether this VM is the owner and schedules jobs. */
  public boolean deciding() {
    return owner.isPresent();
  }

  /** Returns the evacuated failure domains; empty until they have been read. */
  public Optional<Set<FailureDomain>> evacuated() {
    return evacuated;
  }

  /** Returns whether this VM, after {@link BatchEvent.StopBegun}, no longer holds ownership. */
  public boolean handedOver() {
    return retired && ownership.epoch().isEmpty();
  }

  private void handle(BatchEvent event, BatchContext context) {
    ownership.recordActivity(context);
    switch (event) {
      case BatchEvent.Called called -> handleCall(called, context);
      case BatchEvent.ConfigurationRead(var newer) -> configure(newer, context);
      case BatchEvent.EvacuationsRead read -> evacuationsRead(read, context);
      case BatchEvent.OperatorsRead(long sentAt) -> configurationAge.read(sentAt);
      case BatchEvent.Appended(var stream, var position, var outcome) ->
          appended(stream, position, outcome, context);
      case BatchEvent.OwnershipRead(var newest, long end) -> ownership.read(newest, end, context);
      case BatchEvent.OwnershipUnreadable unreadable -> ownership.readFailed(context);
      case BatchEvent.OwnerDoubted doubted -> ownership.ownerSuspected(context);
      case BatchEvent.OwnerHinted(var hint) -> ownership.hintReceived(hint, context);
      case BatchEvent.StateRead(long epoch, var records, var more) ->
          takeover.ifPresent(loading -> loading.read(epoch, records, more, context));
      case BatchEvent.StateUnreadable(long epoch) ->
          takeover.ifPresent(loading -> loading.unreadable(epoch, context));
      case BatchEvent.ExecutorSeen(var profile) -> seen(profile, context);
      case BatchEvent.ExecutorUnlisted(var id) -> unlisted(id);
      case BatchEvent.ExecutorsListed(var profiles) -> listed(profiles, context);
      case BatchEvent.OrderEnded(var id, long number, var outcome) ->
          owner.ifPresent(owning -> owning.orderEnded(id, number, outcome, context));
      case BatchEvent.AdviceEnded(long number, var outcome) ->
          owner.ifPresent(owning -> owning.advised(number, outcome, context));
      case BatchEvent.ExecutorsProbed(long number, var reached) ->
          ownership.probed(number, reached, context);
      case BatchEvent.WavesRead(var asked) -> {
        waves = asked;
        owner.ifPresent(owning -> owning.maintenance().ask(asked, context));
      }
      case BatchEvent.MachinesListed(long number, var machines) ->
          owner.ifPresent(owning -> owning.maintenance().listed(number, machines, context));
      case BatchEvent.MachinesUnreadable(long number, var cause) ->
          owner.ifPresent(owning -> owning.maintenance().listUnreadable(number, cause, context));
      case BatchEvent.MaintenanceCallEnded(var machine, long number, var outcome) ->
          owner.ifPresent(
              owning -> owning.maintenance().callEnded(machine, number, outcome, context));
      case BatchEvent.StopBegun begun -> {
        stoppingSince = OptionalLong.of(context.nowNanos());
        owner.ifPresent(BatchOwner::beginStop);
      }
      case BatchEvent.Tick tick -> owner.ifPresent(owning -> owning.timePassed(context));
    }
  }

  private void handleCall(BatchEvent.Called call, BatchContext context) {
    if (owner.isEmpty()) {
      context.count("fescuehook.batch.refused", "cause", RefusalCause.NOT_OWNER.tag());
      CallAnswer refused = retryDelays.refusal(RefusalCause.NOT_OWNER, call.call());
      context.add(new BatchCommand.Answer(call.ticket(), refused));
      return;
    }
    owner.get().handleCall(call, ownership.storeReachability(context), context);
  }

  private void configure(BatchConfiguration newer, BatchContext context) {
    boolean known = configuration.filter(old -> old.version() >= newer.version()).isPresent();
    if (known) {
      return;
    }
    configuration = Optional.of(newer);
    context.note(
        BatchLogEvent.CONFIGURATION_IN_FORCE,
        newer.version(),
        newer.queues().size(),
        newer.organisations().size());
    owner.ifPresent(owning -> owning.configure(newer));
  }

  private void evacuationsRead(BatchEvent.EvacuationsRead read, BatchContext context) {
    Set<FailureDomain> before = evacuated.orElse(Set.of());
    evacuated = Optional.of(read.domains());
    if (before.equals(read.domains())) {
      return;
    }
    context.note(
        BatchLogEvent.EVACUATIONS_CHANGED,
        read.domains().stream().sorted().toList(),
        before.stream().sorted().toList(),
        read.streamEnd(),
        read.unreadNanos().isPresent()
            ? Duration.ofNanos(read.unreadNanos().getAsLong()).toMillis() + " ms"
            : "an unknown time");
    owner.ifPresent(owning -> owning.evacuate(read.domains(), context));
  }

  private void appended(
      StreamName stream, WriterPosition position, AppendOutcome outcome, BatchContext context) {
    if (stream == StreamName.OWNERSHIP) {
      ownership.appendCompleted(position, outcome, context);
      return;
    }
    if (stream == StreamName.STATUS) {
      owner.ifPresent(owning -> owning.maintenance().reported(position, outcome, context));
      return;
    }
    owner.ifPresent(owning -> owning.appended(position, outcome, context));
    boolean lost =
        takeover.filter(loading -> !loading.answered(position, outcome, context)).isPresent();
    if (lost) {
      ownership.abandon("the jobs' stream has a higher epoch", context);
    }
  }

  private void seen(ExecutorProfile profile, BatchContext context) {
    listed.put(profile.id(), profile);
    owner.ifPresent(owning -> owning.seen(profile, context));
  }

  private void unlisted(ExecutorId id) {
    listed.remove(id);
    owner.ifPresent(owning -> owning.unlisted(id));
  }

  private void listed(List<ExecutorProfile> profiles, BatchContext context) {
    List<ExecutorId> before = List.copyOf(listed.keySet());
    listed.clear();
    executorsRead = true;
    profiles.forEach(profile -> seen(profile, context));
    before.stream().filter(id -> !listed.containsKey(id)).forEach(this::unlisted);
  }

  private void step(BatchContext context) {
    if (owner.filter(BatchOwner::fenced).isPresent()) {
      ownership.abandon("fenced", context);
    }
    retireIfStopping(context);
    // Without these this VM could not schedule, so it does not claim ownership either.
    boolean informed = configuration.isPresent() && evacuated.isPresent();
    if (informed || ownership.epoch().isPresent()) {
      ownership.step(() -> owner.flatMap(owning -> owning.reach(context)), context);
    }
    followOwnership(context);
    takeover.ifPresent(loading -> loading.step(context));
    startOwnerIfLoaded(context);
    yieldIfStalled(context);
    if (owner.isPresent()) {
      owner.get().step(ownership.storeReachability(context), context);
    }
  }

  private void retireIfStopping(BatchContext context) {
    if (stoppingSince.isEmpty() || retired) {
      return;
    }
    boolean allStored = owner.map(BatchOwner::allStored).orElse(true);
    if (allStored || context.nowNanos() - stoppingSince.getAsLong() > STOP_TIMEOUT_NANOS) {
      retired = true;
      ownership.retire(context);
    }
  }

  private void followOwnership(BatchContext context) {
    OptionalLong epoch = ownership.decidingEpoch();
    boolean working = takeover.isPresent() || owner.isPresent();
    if (epoch.isEmpty() && working) {
      takeover = Optional.empty();
      owner.ifPresent(owning -> owning.close(context));
      owner = Optional.empty();
      executorsRead = false;
      listed.clear();
      context.add(new BatchCommand.FollowExecutors(false));
      return;
    }
    if (epoch.isPresent() && !working) {
      takeover = Optional.of(new Takeover(epoch.getAsLong(), context));
      context.add(new BatchCommand.FollowExecutors(true));
    }
  }

  /**
   * Yields ownership if the takeover makes no progress although the store confirms this owner's
   * heartbeats. The stall time does not count while the store is unreachable.
   */
  private void yieldIfStalled(BatchContext context) {
    StoreReachability contact = ownership.storeReachability(context);
    if (context.nowNanos() - contact.confirmedAt()
        >= contact.maxHeartbeatAgeNanos(STORE_REACHABLE_AGE)) {
      takeover.ifPresent(loading -> loading.resetStallTimer(context));
    }
    if (takeover.filter(loading -> loading.stalled(contact, context)).isPresent()) {
      ownership.yield(context);
    }
  }

  /** Returns what this VM lacks besides the jobs to decide as the owner; empty if nothing. */
  private Optional<String> missingToDecide() {
    if (!executorsRead) {
      return Optional.of("executors");
    }
    if (configuration.isEmpty()) {
      return Optional.of("a configuration");
    }
    return evacuated.isEmpty() ? Optional.of("evacuated failure domains") : Optional.empty();
  }

  private void startOwnerIfLoaded(BatchContext context) {
    if (takeover.isEmpty()) {
      return;
    }
    Optional<String> missing = missingToDecide();
    if (!takeover.get().loaded() || missing.isPresent()) {
      takeover.get().logProgress(missing.orElse("nothing"), context);
      return;
    }
    Takeover done = takeover.get();
    takeover = Optional.empty();
    JobRegistry registry = done.registry(context);
    context.note(
        BatchLogEvent.OWNING,
        done.epoch(),
        registry.activeJobs().stream().filter(ActiveJob::open).count(),
        Takeover.inheritedRuns(registry).size(),
        (context.nowNanos() - done.startedAt()) / 1_000_000);
    owner =
        Optional.of(
            new BatchOwner(
                done.epoch(),
                preferences,
                registry,
                configuration.get(),
                evacuated.get(),
                waves,
                done.waveRecords(),
                List.copyOf(listed.values()),
                configurationAge,
                context));
    done.record(SpeedRecord.KEY).ifPresent(owner.get()::restoreSpeeds);
    owner.get().restoreFailures(done.failures(registry, context), context);
  }
}
