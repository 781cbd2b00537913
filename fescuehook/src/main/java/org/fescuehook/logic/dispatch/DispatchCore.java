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
 * Decides on short requests: takes them in or refuses them, claims ids, chooses executors, retries.
 * Has no thread and no clock: one thread hands in events with the time.
 */
public final class DispatchCore {
  private final OpenRequests requests;
  private final ExecutorTable executors;
  private final SlotDispatcher slots;
  private final ClaimDesk claims;
  private final ClaimBatcher batcher;
  private final RequestStream stream;
  private final DelayedTasks delayed = new DelayedTasks();
  private Map<OrganisationId, Organisation> organisations = Map.of();
  private boolean ready;
  private RefusalReason whyNotReady = RefusalReason.NOT_READY;
  private long now;

  /**
   * Creates the core.
   *
   * @param incarnation distinguishes starts of the same VM
   * @param own where peers look up what this VM knows
   * @param random source of jitter
   * @param out takes commands, in their order
   */
  public DispatchCore(
      IdentityPreferences identity,
      String incarnation,
      RequestPreferences preferences,
      LocalOutcomes own,
      RandomGenerator random,
      Consumer<DispatchCommand> out) {
    ClaimBook book = new ClaimBook(preferences.claimWindow().toMillis());
    this.requests = new OpenRequests(out, random, this::closed);
    this.executors = new ExecutorTable(identity.vm(), identity.domain());
    this.batcher = new ClaimBatcher(identity.vm().value(), incarnation);
    this.claims =
        new ClaimDesk(identity.vm(), incarnation, requests, book, batcher, own, this::won, out);
    this.slots =
        new SlotDispatcher(
            preferences, incarnation, requests, executors, claims, delayed, random, out);
    this.stream = new RequestStream(book, claims, preferences.claimWindow().toMillis(), out);
  }

  /**
   * Takes an event.
   *
   * @param nowMillis monotonic time
   */
  public void handle(DispatchEvent event, long nowMillis) {
    now = nowMillis;
    switch (event) {
      case DispatchEvent.Arrived arrived -> arrived(arrived.ticket(), arrived.facts());
      case DispatchEvent.Cancelled cancelled -> cancelled(cancelled.ticket());
      case DispatchEvent.DispatchEnded ended ->
          requests
              .find(ended.ticket())
              .ifPresent(request -> slots.ended(request, ended.end(), ended.tookMillis(), now));
      case DispatchEvent.PathSuspected suspected -> slots.pathSuspected(suspected.executor());
      case DispatchEvent.PathChecked checked ->
          slots.pathChecked(checked.executor(), checked.reachable(), now);
      case DispatchEvent.Configured configured -> configured(configured.configuration());
      case DispatchEvent.Shared shared -> shared(shared.shares());
      case DispatchEvent.Leaving leaving -> executors.leaving(leaving.executors());
      case DispatchEvent.RecordRead read -> stream.read(read.record());
      case DispatchEvent.CaughtUp _ -> stream.caughtUp();
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
    claims.append(now);
  }

  private void arrived(long ticket, RequestAttributes facts) {
    // What is known of an id is told whatever the load: a refusal as not run would mislead.
    boolean known = facts.claimed() && claims.knows(facts);
    Optional<RefusalReason> refusal = refusal(facts);
    if (refusal.isPresent() && !known) {
      requests.refuseUnopened(ticket, refusal.get(), detail(refusal.get()));
      return;
    }
    OpenRequest request = requests.add(ticket, facts);
    if (facts.claimed()) {
      claims.arrived(request, stream.closed());
      return;
    }
    slots.enqueue(request, now);
  }

  private Optional<RefusalReason> refusal(RequestAttributes facts) {
    if (!ready) {
      return Optional.of(whyNotReady);
    }
    if (!executors.shared()) {
      return Optional.of(RefusalReason.NOT_READY);
    }
    Optional<Organisation> organisation =
        Optional.ofNullable(organisations.get(facts.organisation()));
    if (organisation.isEmpty()) {
      return Optional.of(RefusalReason.UNKNOWN_ORGANISATION);
    }
    if (facts.deadlineMillis() <= now) {
      return Optional.of(RefusalReason.DEADLINE_BEFORE_DISPATCH);
    }
    if (requests.inFlight(facts.organisation()) >= organisation.get().requestShare()) {
      return Optional.of(RefusalReason.ORGANISATION_SHARE);
    }
    return slots.hopeless(facts, now);
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

  private void won(OpenRequest request) {
    slots.enqueue(request, now);
  }

  private void closed(OpenRequest request) {
    claims.closed(request);
  }

  private void cancelled(long ticket) {
    Optional<OpenRequest> request = requests.find(ticket);
    if (request.isEmpty()) {
      return;
    }
    request.get().cancelled = true;
    if (request.get().state == OpenRequest.State.SENT) {
      // The executor may be running it; its end is awaited, for the slot and for the record.
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
    slots.weigh(weights);
    executors.configure(configuration.declarations().fleet().executors(), now);
    slots.dispatchWaiting(now);
  }

  private void shared(SlotShares shares) {
    executors.share(shares, now);
    Set<String> vms = new HashSet<>();
    shares.getSharesList().forEach(share -> vms.add(share.getVm()));
    batcher.shareAmong(vms.size());
    slots.dispatchWaiting(now);
  }

  private void logReachable(boolean reachable) {
    stream.reachable(reachable);
    if (!reachable) {
      claims.logLost();
    }
  }

  private void outcomeFetched(DispatchEvent.OutcomeFetched fetched) {
    Optional<OpenRequest> request = requests.find(fetched.ticket());
    if (request.isEmpty() || !claims.fetched(request.get(), fetched.reply())) {
      return;
    }
    delayed.after(now, ClaimDesk.FETCH_AGAIN_MILLIS, () -> claims.fetchAgain(request.get()));
  }

  private void tick() {
    delayed.run(now);
    for (OpenRequest request : requests.overdue(now)) {
      if (request.state == OpenRequest.State.QUEUED) {
        slots.remove(request);
      }
      requests.refuse(request, overdue(request), "the deadline passed");
    }
    slots.dispatchWaiting(now);
  }

  private static RefusalReason overdue(OpenRequest request) {
    return request.state == OpenRequest.State.FOLLOWING
        ? RefusalReason.IN_PROGRESS
        : RefusalReason.DEADLINE_BEFORE_DISPATCH;
  }

  /** Returns how many outcomes and releases are not yet known to be in the log. */
  public int unrecorded() {
    return batcher.unrecorded();
  }

  /** Returns the connections that may be open to each executor now. */
  public Map<ExecutorId, Integer> connectionLimits() {
    return executors.connectionLimits(now);
  }
}
