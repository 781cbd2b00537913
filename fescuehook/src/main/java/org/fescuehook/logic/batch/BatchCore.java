package org.fescuehook.logic.batch;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.logic.batch.ownership.OwnerIdentity;
import org.fescuehook.logic.batch.ownership.OwnershipDuty;
import org.fescuehook.logic.batch.ownership.StoreReachability;
import org.fescuehook.logic.batch.state.ActiveJob;
import org.fescuehook.logic.batch.state.JobRegistry;
import org.fescuehook.logic.batch.store.AppendOutcome;
import org.fescuehook.logic.batch.store.StreamName;
import org.fescuehook.logic.batch.store.WriterPosition;
import org.fescuehook.model.batch.BatchConfiguration;
import org.fescuehook.model.batch.ExecutorProfile;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.preferences.BatchPreferences;

/**
 * Decides about batch jobs: while this VM owns them it stores and orders, else it watches the
 * owner. Single-threaded and without clock or network: the same events at the same times give the
 * same commands.
 */
public final class BatchCore {

  /** When callers come back while no VM decides; a take-over lasts some 3 s. */
  private static final long COME_BACK_MILLIS = 1000;

  /** How long a stopping owner waits for what is on its way to the store. */
  private static final long STOP_WAIT_NANOS = Duration.ofMillis(1500).toNanos();

  /** Age of the store's last word up to which other VMs could take over as well. */
  private static final Duration STORE_NEAR = Duration.ofMillis(1000);

  private final BatchPreferences preferences;
  private final OwnershipDuty ownership;
  private final Map<ExecutorId, ExecutorProfile> listed = new LinkedHashMap<>();
  private boolean executorsRead;
  private Optional<BatchConfiguration> configuration = Optional.empty();
  private Optional<Takeover> takeover = Optional.empty();
  private Optional<BatchOwner> owner = Optional.empty();
  private OptionalLong stoppingSince = OptionalLong.empty();
  private boolean retired;

  /** Creates a core that has read nothing. */
  public BatchCore(OwnerIdentity self, BatchPreferences preferences) {
    this.preferences = preferences;
    this.ownership = new OwnershipDuty(self);
  }

  /**
   * Applies one event.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   * @return what is to be done, in order
   */
  public List<BatchCommand> apply(BatchEvent event, long nowNanos, long wallMillis) {
    return apply(event, nowNanos, wallMillis, false);
  }

  /**
   * Applies one event.
   *
   * @param nowNanos monotonic time
   * @param wallMillis milliseconds since 1970
   * @param more whether further events wait already; plans then wait for them, for a moment
   * @return what is to be done, in order
   */
  public List<BatchCommand> apply(BatchEvent event, long nowNanos, long wallMillis, boolean more) {
    BatchContext context = new BatchContext(nowNanos, wallMillis, more);
    take(event, context);
    step(context);
    return context.commands();
  }

  /** Returns the owner to tell peers: this VM if it owns, else the one that it knows. */
  public Optional<OwnerHint> ownerHint() {
    return ownership.hint();
  }

  /**
   * Returns how long nothing can become due by time alone, as far as is known; zero while this VM
   * owns or stops. An event may end it at any moment.
   *
   * @param nowNanos monotonic time
   */
  public Duration calmFor(long nowNanos) {
    boolean standsBy = owner.isEmpty() && takeover.isEmpty() && stoppingSince.isEmpty();
    return standsBy ? ownership.minTimeToClaim(nowNanos) : Duration.ZERO;
  }

  /** Tells whether this VM decides. */
  public boolean deciding() {
    return owner.isPresent();
  }

  /** Tells whether a stop has handed ownership over, or had none. */
  public boolean handedOver() {
    return retired && ownership.epoch().isEmpty();
  }

  private void take(BatchEvent event, BatchContext context) {
    ownership.recordActivity(context);
    switch (event) {
      case BatchEvent.Called called -> called(called, context);
      case BatchEvent.ConfigurationRead(var newer) -> configure(newer, context);
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
      case BatchEvent.StopBegun begun -> {
        stoppingSince = OptionalLong.of(context.nowNanos());
        owner.ifPresent(BatchOwner::beginStop);
      }
      case BatchEvent.Tick tick -> owner.ifPresent(owning -> owning.timePassed(context));
    }
  }

  private void called(BatchEvent.Called asked, BatchContext context) {
    if (owner.isEmpty()) {
      context.count("fescuehook.batch.refused", "cause", RefusalCause.NOT_OWNER.tag());
      CallAnswer refused = new CallAnswer.Refused(RefusalCause.NOT_OWNER, COME_BACK_MILLIS);
      context.add(new BatchCommand.Answer(asked.ticket(), refused));
      return;
    }
    owner.get().called(asked, ownership.storeReachability(context), context);
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
        newer.holders().size());
    owner.ifPresent(owning -> owning.configure(newer));
  }

  private void appended(
      StreamName stream, WriterPosition position, AppendOutcome outcome, BatchContext context) {
    if (stream == StreamName.OWNERSHIP) {
      ownership.appendCompleted(position, outcome, context);
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
    ExecutorProfile known = listed.get(profile.id());
    if (known != null && profile.incarnation().before(known.incarnation())) {
      return;
    }
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
    // Without a configuration nothing can be decided, so there is no claim either.
    if (configuration.isPresent() || ownership.epoch().isPresent()) {
      ownership.step(context);
    }
    followOwnership(context);
    takeover.ifPresent(loading -> loading.step(context));
    beginIfLoaded(context);
    yieldIfStalled(context);
    if (owner.isPresent()) {
      owner.get().step(ownership.storeReachability(context), context);
    }
  }

  private void retireIfStopping(BatchContext context) {
    if (stoppingSince.isEmpty() || retired) {
      return;
    }
    boolean settled = owner.map(BatchOwner::settled).orElse(true);
    if (settled || context.nowNanos() - stoppingSince.getAsLong() > STOP_WAIT_NANOS) {
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

  /** Gives up a take-over that stands still all the while the store confirms this owner. */
  private void yieldIfStalled(BatchContext context) {
    StoreReachability contact = ownership.storeReachability(context);
    if (context.nowNanos() - contact.confirmedAt() >= contact.maxHeartbeatAgeNanos(STORE_NEAR)) {
      takeover.ifPresent(loading -> loading.excuse(context));
    }
    if (takeover.filter(loading -> loading.stalled(contact, context)).isPresent()) {
      ownership.yield(context);
    }
  }

  private void beginIfLoaded(BatchContext context) {
    if (takeover.isEmpty()) {
      return;
    }
    if (!takeover.get().loaded() || !executorsRead || configuration.isEmpty()) {
      takeover.get().tellWhatIsMissing(executorsRead ? "a configuration" : "executors", context);
      return;
    }
    Takeover done = takeover.get();
    takeover = Optional.empty();
    JobRegistry book = done.book(context);
    context.note(
        BatchLogEvent.OWNING,
        done.epoch(),
        book.openJobs().stream().filter(ActiveJob::open).count(),
        Takeover.inheritedRuns(book).size(),
        (context.nowNanos() - done.startedAt()) / 1_000_000);
    owner =
        Optional.of(
            new BatchOwner(
                done.epoch(),
                preferences,
                book,
                configuration.get(),
                List.copyOf(listed.values()),
                context));
  }
}
