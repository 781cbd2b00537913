package org.fescuehook.logic.dispatch;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.fescuehook.logic.platform.LogAppender.AppendResult;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestClaim;
import org.fescuehook.wire.RequestKey;
import org.fescuehook.wire.RequestOutcome;
import org.fescuehook.wire.RequestRecord;

/**
 * Handles requests with an id: claims the id in the log, passes only the request whose claim wins
 * on to be dispatched, records its outcome, and answers later requests with the same id from that
 * outcome.
 */
final class ClaimHandler implements ClaimRegistry.Listener {
  /**
   * Number of times that a claimant which gives no answer is asked before the outcome counts as
   * unknown.
   */
  static final int MAX_FETCHES = 3;

  static final long FETCH_RETRY_MILLIS = 300;

  private static final int MAX_ABANDONED = 10_000;

  private final String vm;
  private final String incarnation;
  private final OpenRequests requests;
  private final ClaimRegistry registry;
  private final ClaimBatcher batcher;
  private final LocalOutcomes localOutcomes;
  private final Consumer<OpenRequest> onClaimWon;
  private final Consumer<DispatchCommand> out;
  private final Map<String, OpenRequest> awaitingClaim = new HashMap<>();
  private final Set<String> abandoned = new LinkedHashSet<>();
  private final Map<RequestKey, List<OpenRequest>> followers = new HashMap<>();
  private int claimCount;

  /**
   * Creates the handler.
   *
   * @param onClaimWon is called for each request whose claim won; the request may be dispatched
   *     then
   */
  ClaimHandler(
      VmId vm,
      String incarnation,
      OpenRequests requests,
      ClaimRegistry registry,
      ClaimBatcher batcher,
      LocalOutcomes localOutcomes,
      Consumer<OpenRequest> onClaimWon,
      Consumer<DispatchCommand> out) {
    this.vm = vm.value();
    this.incarnation = incarnation;
    this.requests = requests;
    this.registry = registry;
    this.batcher = batcher;
    this.localOutcomes = localOutcomes;
    this.onClaimWon = onClaimWon;
    this.out = out;
  }

  private static RequestKey key(OpenRequest request) {
    return key(request.attributes);
  }

  private static RequestKey key(RequestAttributes attributes) {
    return RequestKey.newBuilder()
        .setOrganisation(attributes.organisation().value())
        .setRequestId(attributes.requestId().orElseThrow())
        .build();
  }

  /** Returns whether the request's id is claimed. */
  boolean isClaimed(RequestAttributes attributes) {
    return registry.find(key(attributes)).isPresent();
  }

  /**
   * Accepts a request with an id.
   *
   * @param claimRefusal why no id can be claimed now; empty if ids can be claimed
   */
  void accept(OpenRequest request, Optional<RefusalReason> claimRefusal) {
    Optional<ClaimRegistry.Claim> claim = registry.find(key(request));
    if (claim.isPresent()) {
      follow(request, claim.get());
      return;
    }
    if (claimRefusal.isPresent()) {
      requests.refuse(request, claimRefusal.get(), "a request id cannot be claimed now");
      return;
    }
    claim(request);
  }

  private void claim(OpenRequest request) {
    claimCount++;
    String token = incarnation + "-" + claimCount;
    RequestClaim claim =
        RequestClaim.newBuilder()
            .setKey(key(request))
            .setToken(token)
            .setDigest(request.attributes.digest().value())
            .build();
    if (registry.isFull() || !batcher.claim(claim)) {
      requests.refuse(request, RefusalReason.QUEUE_FULL, "too many request ids are kept");
      return;
    }
    request.state = OpenRequest.State.CLAIMING;
    request.claimToken = Optional.of(token);
    awaitingClaim.put(token, request);
    localOutcomes.add(claim.getKey(), token);
  }

  @Override
  public void claimRead(RequestKey key, String token, ClaimRegistry.Claim inEffect) {
    boolean won = inEffect.token().equals(token);
    Optional<OpenRequest> request = Optional.ofNullable(awaitingClaim.remove(token));
    if (request.isEmpty()) {
      if (abandoned.remove(token)) {
        resolveAbandoned(key, token, won);
      }
      return;
    }
    if (won) {
      request.get().claimWon = true;
      localOutcomes.claimWon(key, token);
      onClaimWon.accept(request.get());
      return;
    }
    request.get().claimToken = Optional.empty();
    localOutcomes.remove(key, token);
    follow(request.get(), inEffect);
  }

  private void resolveAbandoned(RequestKey key, String token, boolean won) {
    if (won) {
      batcher.release(key, token);
      return;
    }
    localOutcomes.remove(key, token);
  }

  private void follow(OpenRequest request, ClaimRegistry.Claim claim) {
    if (!claim.digest().equals(request.attributes.digest())) {
      requests.refuse(
          request, RefusalReason.REQUEST_ID_REUSED, "the id belongs to another request");
      return;
    }
    Optional<RequestOutcome> outcome =
        claim.outcome().or(() -> localOutcomes.recordedOutcome(key(request), claim.token()));
    if (outcome.isPresent()) {
      answer(request, outcome.get());
      return;
    }
    request.state = OpenRequest.State.FOLLOWING;
    followers.computeIfAbsent(key(request), k -> new ArrayList<>(1)).add(request);
    if (!isOwn(claim)) {
      fetch(request, claim);
    }
  }

  private boolean isOwn(ClaimRegistry.Claim claim) {
    return claim.writer().equals(vm) && claim.incarnation().equals(incarnation);
  }

  private void fetch(OpenRequest request, ClaimRegistry.Claim claim) {
    out.accept(
        new DispatchCommand.FetchOutcome(request.ticket, new VmId(claim.writer()), key(request)));
  }

  /** Handles a claimant's reply; returns whether the claimant must be asked again later. */
  boolean outcomeFetched(OpenRequest request, Optional<OutcomeReply> reply) {
    Optional<ClaimRegistry.Claim> claim = registry.find(key(request));
    if (request.state != OpenRequest.State.FOLLOWING || claim.isEmpty()) {
      return false;
    }
    Optional<RequestOutcome> outcome =
        reply
            .filter(OutcomeReply::hasOutcome)
            .map(OutcomeReply::getOutcome)
            .filter(known -> known.getToken().equals(claim.get().token()));
    if (outcome.isPresent()) {
      answer(request, outcome.get());
      return false;
    }
    boolean inProgress = reply.isPresent() && reply.get().getInProgress();
    request.fetches = inProgress ? 0 : request.fetches + 1;
    if (request.fetches >= MAX_FETCHES) {
      requests.refuse(
          request, RefusalReason.OUTCOME_UNKNOWN, "the entry VM that ran it gives no answer");
      return false;
    }
    return true;
  }

  /** Asks the claimant again, if the request still waits for the outcome. */
  void retryFetch(OpenRequest request) {
    if (!requests.isOpen(request) || request.state != OpenRequest.State.FOLLOWING) {
      return;
    }
    registry.find(key(request)).ifPresent(claim -> fetch(request, claim));
  }

  private void answer(OpenRequest request, RequestOutcome outcome) {
    if (outcome.getUnknown()) {
      requests.refuse(request, RefusalReason.OUTCOME_UNKNOWN, "it may have been run");
      return;
    }
    if (!outcome.getWhole()) {
      requests.refuse(
          request, RefusalReason.OUTCOME_NOT_KEPT, "it was answered with " + outcome.getStatus());
      return;
    }
    requests.answerRecorded(
        request, outcome.getStatus(), outcome.getContentType(), outcome.getBody().toByteArray());
  }

  /** Records the answer to a claimed request. */
  void answered(OpenRequest request, DispatchResult.Answered answered) {
    if (!request.claimWon) {
      return;
    }
    ByteString body = answered.kept() ? ByteString.copyFrom(answered.body()) : ByteString.EMPTY;
    recordOutcome(
        request,
        RequestOutcome.newBuilder()
            .setKey(key(request))
            .setToken(request.claimToken.orElseThrow())
            .setStatus(answered.status())
            .setContentType(answered.contentType())
            .setBody(body)
            .setWhole(answered.kept())
            .build());
  }

  private void recordOutcome(OpenRequest request, RequestOutcome outcome) {
    request.outcomeRecorded = true;
    localOutcomes.recordOutcome(outcome);
    batcher.outcome(outcome);
    answerFollowers(outcome);
  }

  private void answerFollowers(RequestOutcome outcome) {
    List<OpenRequest> waitingFollowers =
        Optional.ofNullable(followers.remove(outcome.getKey())).orElse(List.of());
    for (OpenRequest follower : waitingFollowers) {
      answer(follower, outcome);
    }
  }

  /**
   * Handles a request that is no longer open. If its claim has no outcome yet, releases the id or,
   * if the request may have been run, records the outcome as unknown.
   */
  void requestClosed(OpenRequest request) {
    unfollow(request);
    if (request.claimToken.isEmpty() || request.outcomeRecorded) {
      return;
    }
    String token = request.claimToken.get();
    if (request.claimWon) {
      releaseOrRecordUnknown(request, token);
      return;
    }
    awaitingClaim.remove(token);
    if (batcher.withdraw(token)) {
      localOutcomes.remove(key(request), token);
      return;
    }
    abandon(token);
  }

  private void releaseOrRecordUnknown(OpenRequest request, String token) {
    if (!request.mayHaveRun) {
      batcher.release(key(request), token);
      return;
    }
    recordOutcome(
        request,
        RequestOutcome.newBuilder().setKey(key(request)).setToken(token).setUnknown(true).build());
  }

  /** Remembers a claim that may still appear in the log, where it is then released. */
  private void abandon(String token) {
    abandoned.add(token);
    if (abandoned.size() > MAX_ABANDONED) {
      abandoned.remove(abandoned.iterator().next());
    }
  }

  private void unfollow(OpenRequest request) {
    followers.computeIfPresent(
        key(request),
        (key, waitingFollowers) -> {
          waitingFollowers.remove(request);
          return waitingFollowers.isEmpty() ? null : waitingFollowers;
        });
  }

  @Override
  public void outcomeRead(RequestKey key, ClaimRegistry.Claim claim) {
    answerFollowers(claim.outcome().orElseThrow());
  }

  @Override
  public void claimReleased(RequestKey key, String token) {
    localOutcomes.remove(key, token);
    List<OpenRequest> waitingFollowers =
        Optional.ofNullable(followers.remove(key)).orElse(List.of());
    for (OpenRequest follower : waitingFollowers) {
      follower.fetches = 0;
      claim(follower);
    }
  }

  /** Handles the end of an append. */
  void appendEnded(long append, AppendResult result, long nowMillis) {
    Optional<RequestRecord> record = batcher.endAppend(append);
    if (record.isEmpty()) {
      return;
    }
    switch (result) {
      case AppendResult.Appended _ -> {}
      case AppendResult.Unknown _ -> batcher.requeueFailed(record.get(), nowMillis);
      case AppendResult.NotAppended _ -> {
        batcher.requeueFailed(record.get(), nowMillis);
        refuseClaims(record.get());
      }
    }
  }

  private void refuseClaims(RequestRecord record) {
    for (RequestClaim claim : record.getClaimsList()) {
      abandoned.remove(claim.getToken());
      Optional<OpenRequest> request = Optional.ofNullable(awaitingClaim.remove(claim.getToken()));
      localOutcomes.remove(claim.getKey(), claim.getToken());
      if (request.isPresent()) {
        request.get().claimToken = Optional.empty();
        requests.refuse(request.get(), RefusalReason.LOG_UNAVAILABLE, "the log took no claim");
      }
    }
  }

  /**
   * Rejects all requests that wait for their claims, because the log is unreachable; they will not
   * be dispatched.
   */
  void logUnreachable() {
    for (OpenRequest request : List.copyOf(awaitingClaim.values())) {
      requests.refuse(request, RefusalReason.LOG_UNAVAILABLE, "the log does not answer");
    }
  }

  /** Begins the next append, if there is anything to append and an append may begin now. */
  void beginAppend(long nowMillis) {
    batcher
        .next(nowMillis)
        .ifPresent(record -> out.accept(new DispatchCommand.Append(batcher.sequence(), record)));
  }
}
