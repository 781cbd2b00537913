package org.fescuehook.logic.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.SlotShares;

/**
 * Decides on short requests: accepts or rejects them, claims their ids, chooses executors, and
 * retries. Has neither a thread nor a clock of its own: a single thread passes in each event with
 * the current time.
 */
public final class DispatchCore {
  private final OpenRequests requests;
  private final ExecutorTable executors;
  private final SlotDispatcher slots;
  private final ClaimHandler claims;
  private final ClaimBatcher batcher;
  private final RequestStreamReader stream;
  private final DelayedTasks delayedTasks = new DelayedTasks();
  private Map<OrganisationId, Organisation> organisations = Map.of();
  private boolean ready;
  private RefusalReason whyNotReady = RefusalReason.NOT_READY;
  private long now;

  /**
   * Creates the core.
   *
   * @param incarnation identifies this process among successive processes of the same VM
   * @param localOutcomes receives the outcomes of ids that this VM claimed; peers look them up
   *     there
   * @param random source of jitter
   * @param out receives the commands in order
   */
  public DispatchCore(
      IdentityPreferences identity,
      String incarnation,
      RequestPreferences preferences,
      LocalOutcomes localOutcomes,
      RandomGenerator random,
      Consumer<DispatchCommand> out) {
    ClaimRegistry registry = new ClaimRegistry(preferences.claimWindow().toMillis());
    this.requests = new OpenRequests(out, random, this::requestClosed);
    this.executors = new ExecutorTable(identity.vm(), identity.domain());
    this.batcher = new ClaimBatcher(identity.vm().value(), incarnation);
    this.claims =
        new ClaimHandler(
            identity.vm(),
            incarnation,
            requests,
            registry,
            batcher,
            localOutcomes,
            this::claimWon,
            out);
    this.slots =
        new SlotDispatcher(
            preferences, incarnation, requests, executors, claims, delayedTasks, random, out);
    this.stream =
        new RequestStreamReader(registry, claims, preferences.claimWindow().toMillis(), out);
  }

  /**
   * Handles an event.
   *
   * @param nowMillis monotonic time
   */
  public void handle(DispatchEvent event, long nowMillis) {
    now = nowMillis;
    switch (event) {
      case DispatchEvent.Arrived arrived -> arrived(arrived.ticket(), arrived.attributes());
      case DispatchEvent.Cancelled cancelled -> cancelled(cancelled.ticket());
      case DispatchEvent.DispatchEnded ended ->
          requests
              .find(ended.ticket())
              .ifPresent(
                  request -> slots.dispatchEnded(request, ended.result(), ended.tookMillis(), now));
      case DispatchEvent.PathSuspected suspected -> slots.pathSuspected(suspected.executor());
      case DispatchEvent.PathChecked checked ->
          slots.pathChecked(checked.executor(), checked.reachable(), now);
      case DispatchEvent.Configured configured -> configured(configured.configuration());
      case DispatchEvent.Shared shared -> shared(shared.shares());
      case DispatchEvent.Leaving leaving -> executors.setLeaving(leaving.executors());
      case DispatchEvent.RecordRead read -> stream.read(read.record());
      case DispatchEvent.CaughtUp _ -> stream.setCaughtUp();
      case DispatchEvent.LogReachable reachable -> logReachable(reachable.reachable());
      case DispatchEvent.AppendEnded ended ->
          claims.appendEnded(ended.append(), ended.result(), now);
      case DispatchEvent.OutcomeFetched fetched -> outcomeFetched(fetched);
      case DispatchEvent.Ready opened -> {
        ready = opened.ready();
        whyNotReady = opened.why();
      }
      case DispatchEvent.Tick() -> tick();
    }
    claims.beginAppend(now);
  }

  private void arrived(long ticket, RequestAttributes attributes) {
    // A request with a claimed id is answered from the claim even under overload or before this VM
    // is ready: rejecting it as not run would be wrong, as the id's first request may have run.
    boolean alreadyClaimed = attributes.needsClaim() && claims.isClaimed(attributes);
    Optional<RefusalReason> refusal = refusal(attributes);
    if (refusal.isPresent() && !alreadyClaimed) {
      requests.refuseUnaccepted(ticket, refusal.get(), detail(refusal.get()));
      return;
    }
    OpenRequest request = requests.add(ticket, attributes);
    if (attributes.needsClaim()) {
      claims.accept(request, stream.claimRefusal());
      return;
    }
    slots.enqueue(request, now);
  }

  private Optional<RefusalReason> refusal(RequestAttributes attributes) {
    if (!ready) {
      return Optional.of(whyNotReady);
    }
    if (!executors.hasShares()) {
      return Optional.of(RefusalReason.NOT_READY);
    }
    Optional<Organisation> organisation =
        Optional.ofNullable(organisations.get(attributes.organisation()));
    if (organisation.isEmpty()) {
      return Optional.of(RefusalReason.UNKNOWN_ORGANISATION);
    }
    if (attributes.deadlineMillis() <= now) {
      return Optional.of(RefusalReason.DEADLINE_BEFORE_DISPATCH);
    }
    if (requests.inFlight(attributes.organisation()) >= organisation.get().requestShare()) {
      return Optional.of(RefusalReason.ORGANISATION_SHARE);
    }
    return slots.refusalOnArrival(attributes, now);
  }

  private static String detail(RefusalReason reason) {
    return switch (reason) {
      case NOT_READY -> "this entry VM takes no requests yet";
      case DRAINING -> "this entry VM is stopping";
      case UNKNOWN_ORGANISATION -> "the organisation is not declared";
      case ORGANISATION_SHARE -> "the organisation has its share of requests in flight";
      case QUEUE_FULL -> "too many requests wait for a slot";
      case NO_EXECUTOR -> "no executor has a slot within the deadline";
      default -> "refused on arrival";
    };
  }

  private void claimWon(OpenRequest request) {
    slots.enqueue(request, now);
  }

  private void requestClosed(OpenRequest request) {
    claims.requestClosed(request);
  }

  private void cancelled(long ticket) {
    Optional<OpenRequest> request = requests.find(ticket);
    if (request.isEmpty()) {
      return;
    }
    request.get().cancelled = true;
    if (request.get().state == OpenRequest.State.SENT) {
      // The executor may be running it; waits for its end to free the slot and record the outcome.
      return;
    }
    if (request.get().state == OpenRequest.State.QUEUED) {
      slots.remove(request.get());
    }
    requests.finish(request.get());
  }

  private void configured(Configuration configuration) {
    Map<OrganisationId, Organisation> declared = new HashMap<>();
    Map<OrganisationId, Double> weights = new HashMap<>();
    for (Organisation organisation : configuration.declarations().organisations()) {
      declared.put(organisation.id(), organisation);
      weights.put(organisation.id(), organisation.weight());
    }
    organisations = Map.copyOf(declared);
    slots.setWeights(weights);
    executors.configure(configuration.declarations().fleet().executors(), now);
    slots.dispatchWaiting(now);
  }

  private void shared(SlotShares shares) {
    executors.setShares(shares, now);
    Set<String> vms = new HashSet<>();
    shares.getSharesList().forEach(share -> vms.add(share.getVm()));
    batcher.setVmCount(vms.size());
    slots.dispatchWaiting(now);
  }

  private void logReachable(boolean reachable) {
    stream.setReachable(reachable);
    if (!reachable) {
      claims.logUnreachable();
    }
  }

  private void outcomeFetched(DispatchEvent.OutcomeFetched fetched) {
    Optional<OpenRequest> request = requests.find(fetched.ticket());
    if (request.isEmpty() || !claims.outcomeFetched(request.get(), fetched.reply())) {
      return;
    }
    delayedTasks.schedule(
        now, ClaimHandler.FETCH_RETRY_MILLIS, () -> claims.retryFetch(request.get()));
  }

  private void tick() {
    delayedTasks.run(now);
    for (OpenRequest request : requests.expired(now)) {
      if (request.state == OpenRequest.State.QUEUED) {
        slots.remove(request);
      }
      requests.refuse(request, expiryReason(request), "the deadline passed");
    }
    slots.dispatchWaiting(now);
  }

  private static RefusalReason expiryReason(OpenRequest request) {
    return request.state == OpenRequest.State.FOLLOWING
        ? RefusalReason.IN_PROGRESS
        : RefusalReason.DEADLINE_BEFORE_DISPATCH;
  }

  /** Returns the number of outcomes and releases that are not yet known to be in the log. */
  public int unrecorded() {
    return batcher.unconfirmedCount();
  }

  /** Returns the maximum number of connections to each executor at this time. */
  public Map<ExecutorId, Integer> connectionLimits() {
    return executors.connectionLimits(now);
  }
}
