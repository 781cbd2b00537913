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
 * Requests with an id: claims the id in the log, lets only the winner be dispatched, records what
 * came of it, and answers later requests with the same id.
 */
final class ClaimDesk implements ClaimBook.Reader {
  /** Times that a claimant without an answer is asked before its outcome counts as unknown. */
  static final int MOST_FETCHES = 3;

  static final long FETCH_AGAIN_MILLIS = 300;

  private static final int MOST_ABANDONED = 10_000;

  private final String vm;
  private final String incarnation;
  private final OpenRequests requests;
  private final ClaimBook book;
  private final ClaimBatcher batcher;
  private final LocalOutcomes own;
  private final Consumer<OpenRequest> winner;
  private final Consumer<DispatchCommand> out;
  private final Map<String, OpenRequest> awaiting = new HashMap<>();
  private final Set<String> abandoned = new LinkedHashSet<>();
  private final Map<RequestKey, List<OpenRequest>> followers = new HashMap<>();
  private int claimsMade;

  /**
   * Creates the desk.
   *
   * @param winner takes each request whose claim won; it may be dispatched
   */
  ClaimDesk(
      VmId vm,
      String incarnation,
      OpenRequests requests,
      ClaimBook book,
      ClaimBatcher batcher,
      LocalOutcomes own,
      Consumer<OpenRequest> winner,
      Consumer<DispatchCommand> out) {
    this.vm = vm.value();
    this.incarnation = incarnation;
    this.requests = requests;
    this.book = book;
    this.batcher = batcher;
    this.own = own;
    this.winner = winner;
    this.out = out;
  }

  private static RequestKey key(OpenRequest request) {
    return key(request.facts);
  }

  private static RequestKey key(RequestAttributes facts) {
    return RequestKey.newBuilder()
        .setOrganisation(facts.organisation().value())
        .setRequestId(facts.requestId().orElseThrow())
        .build();
  }

  /** Tells whether the request's id is claimed. */
  boolean knows(RequestAttributes facts) {
    return book.find(key(facts)).isPresent();
  }

  /**
   * Takes a request with an id.
   *
   * @param closed why no claim can be made now; empty if one can
   */
  void arrived(OpenRequest request, Optional<RefusalReason> closed) {
    Optional<ClaimBook.Claim> claim = book.find(key(request));
    if (claim.isPresent()) {
      follow(request, claim.get());
      return;
    }
    if (closed.isPresent()) {
      requests.refuse(request, closed.get(), "a request id cannot be claimed now");
      return;
    }
    claim(request);
  }

  private void claim(OpenRequest request) {
    claimsMade++;
    String token = incarnation + "-" + claimsMade;
    RequestClaim claim =
        RequestClaim.newBuilder()
            .setKey(key(request))
            .setToken(token)
            .setDigest(request.facts.digest().value())
            .build();
    if (book.full() || !batcher.claim(claim)) {
      requests.refuse(request, RefusalReason.QUEUE_FULL, "too many request ids are kept");
      return;
    }
    request.state = OpenRequest.State.CLAIMING;
    request.claimToken = Optional.of(token);
    awaiting.put(token, request);
    own.begin(claim.getKey(), token);
  }

  @Override
  public void claimRead(RequestKey key, String token, ClaimBook.Claim inForce) {
    boolean won = inForce.token().equals(token);
    Optional<OpenRequest> request = Optional.ofNullable(awaiting.remove(token));
    if (request.isEmpty()) {
      if (abandoned.remove(token)) {
        dropAbandoned(key, token, won);
      }
      return;
    }
    if (won) {
      request.get().claimWon = true;
      own.won(key, token);
      winner.accept(request.get());
      return;
    }
    request.get().claimToken = Optional.empty();
    own.forget(key, token);
    follow(request.get(), inForce);
  }

  private void dropAbandoned(RequestKey key, String token, boolean won) {
    if (won) {
      batcher.release(key, token);
      return;
    }
    own.forget(key, token);
  }

  private void follow(OpenRequest request, ClaimBook.Claim claim) {
    if (!claim.digest().equals(request.facts.digest())) {
      requests.refuse(
          request, RefusalReason.REQUEST_ID_REUSED, "the id belongs to another request");
      return;
    }
    Optional<RequestOutcome> outcome =
        claim.outcome().or(() -> own.settledOutcome(key(request), claim.token()));
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

  private boolean isOwn(ClaimBook.Claim claim) {
    return claim.writer().equals(vm) && claim.incarnation().equals(incarnation);
  }

  private void fetch(OpenRequest request, ClaimBook.Claim claim) {
    out.accept(
        new DispatchCommand.FetchOutcome(request.ticket, new VmId(claim.writer()), key(request)));
  }

  /** Takes a claimant's reply; returns whether it is to be asked again later. */
  boolean fetched(OpenRequest request, Optional<OutcomeReply> reply) {
    Optional<ClaimBook.Claim> claim = book.find(key(request));
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
    boolean running = reply.isPresent() && reply.get().getInProgress();
    request.fetches = running ? 0 : request.fetches + 1;
    if (request.fetches >= MOST_FETCHES) {
      requests.refuse(
          request, RefusalReason.OUTCOME_UNKNOWN, "the entry VM that ran it gives no answer");
      return false;
    }
    return true;
  }

  /** Asks the claimant again. */
  void fetchAgain(OpenRequest request) {
    if (!requests.isOpen(request) || request.state != OpenRequest.State.FOLLOWING) {
      return;
    }
    book.find(key(request)).ifPresent(claim -> fetch(request, claim));
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
    settle(
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

  private void settle(OpenRequest request, RequestOutcome outcome) {
    request.settled = true;
    own.settle(outcome);
    batcher.outcome(outcome);
    answerFollowers(outcome);
  }

  private void answerFollowers(RequestOutcome outcome) {
    List<OpenRequest> waiting =
        Optional.ofNullable(followers.remove(outcome.getKey())).orElse(List.of());
    for (OpenRequest follower : waiting) {
      answer(follower, outcome);
    }
  }

  /** Takes a request that is open no longer: its id is released, or settled as unknown. */
  void closed(OpenRequest request) {
    unfollow(request);
    if (request.claimToken.isEmpty() || request.settled) {
      return;
    }
    String token = request.claimToken.get();
    if (request.claimWon) {
      giveUp(request, token);
      return;
    }
    awaiting.remove(token);
    if (batcher.withdraw(token)) {
      own.forget(key(request), token);
      return;
    }
    abandon(token);
  }

  private void giveUp(OpenRequest request, String token) {
    if (!request.mayHaveRun) {
      batcher.release(key(request), token);
      return;
    }
    settle(
        request,
        RequestOutcome.newBuilder().setKey(key(request)).setToken(token).setUnknown(true).build());
  }

  /** The claim may still turn up in the log; it is released then. */
  private void abandon(String token) {
    abandoned.add(token);
    if (abandoned.size() > MOST_ABANDONED) {
      abandoned.remove(abandoned.iterator().next());
    }
  }

  private void unfollow(OpenRequest request) {
    followers.computeIfPresent(
        key(request),
        (key, waiting) -> {
          waiting.remove(request);
          return waiting.isEmpty() ? null : waiting;
        });
  }

  @Override
  public void settled(RequestKey key, ClaimBook.Claim claim) {
    answerFollowers(claim.outcome().orElseThrow());
  }

  @Override
  public void released(RequestKey key, String token) {
    own.forget(key, token);
    List<OpenRequest> waiting = Optional.ofNullable(followers.remove(key)).orElse(List.of());
    for (OpenRequest follower : waiting) {
      follower.fetches = 0;
      claim(follower);
    }
  }

  /** Takes the end of an append. */
  void appendEnded(long append, AppendResult result, long nowMillis) {
    Optional<RequestRecord> record = batcher.ended(append);
    if (record.isEmpty()) {
      return;
    }
    switch (result) {
      case AppendResult.Appended _ -> {}
      case AppendResult.Unknown _ -> batcher.failed(record.get(), nowMillis);
      case AppendResult.NotAppended _ -> {
        batcher.failed(record.get(), nowMillis);
        refuseClaims(record.get());
      }
    }
  }

  private void refuseClaims(RequestRecord record) {
    for (RequestClaim claim : record.getClaimsList()) {
      abandoned.remove(claim.getToken());
      Optional<OpenRequest> request = Optional.ofNullable(awaiting.remove(claim.getToken()));
      own.forget(claim.getKey(), claim.getToken());
      if (request.isPresent()) {
        request.get().claimToken = Optional.empty();
        requests.refuse(request.get(), RefusalReason.LOG_UNAVAILABLE, "the log took no claim");
      }
    }
  }

  /** The log does not answer: what waits for its claim is refused; it will not be dispatched. */
  void logLost() {
    for (OpenRequest request : List.copyOf(awaiting.values())) {
      requests.refuse(request, RefusalReason.LOG_UNAVAILABLE, "the log does not answer");
    }
  }

  /** Begins the next append, if one may begin. */
  void append(long nowMillis) {
    batcher
        .next(nowMillis)
        .ifPresent(record -> out.accept(new DispatchCommand.Append(batcher.sequence(), record)));
  }
}
