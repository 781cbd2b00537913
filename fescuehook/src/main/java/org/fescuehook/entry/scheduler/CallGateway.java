package org.fescuehook.entry.scheduler;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.logic.ini.MalformedValueException;
import org.fescuehook.net.batch.CallPort;
import org.fescuehook.net.batch.OwnerHints;
import org.fescuehook.net.batch.OwnerLink;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards callers' calls to the owner, which is this VM or another one that is reached over a
 * link. While the caller waits and the outcome is unknown, a call is sent again, to the next owner
 * if there is one. Every call is idempotent by its job id, and callers may not repeat a call
 * themselves after an undecided answer. Status calls and cancels are also retried while there is no
 * owner, as callers have only a few attempts and a refusal says nothing about the job.
 */
final class CallGateway implements CallPort, OwnerHints {

  private static final Logger LOGGER = LoggerFactory.getLogger(CallGateway.class);

  /** Delay before the first retry of a call; it doubles with each further retry. */
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);

  /** Upper bound on the retry delay. A change of the owner triggers the retry at once. */
  private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(400);

  private final EventLoop loop;
  private final CallPort local;
  private final Consumer<BatchEvent> events;
  private final BiFunction<InetSocketAddress, OwnerHints, OwnerLink> links;
  private final RetryDelays retryDelays;
  private final MeterRegistry meters;
  private final Set<OpenCall> open = ConcurrentHashMap.newKeySet();
  private final Set<Retry> pendingRetries = ConcurrentHashMap.newKeySet();
  private volatile OwnerView view = OwnerView.NONE;
  private volatile Optional<OwnerLink> link = Optional.empty();
  private volatile boolean stopped;

  /**
   * Creates a gateway that knows no owner.
   *
   * @param local receives the calls while this VM is the owner
   * @param events receives what the answers to calls reveal about the owner
   * @param links creates a link to the owner at an address
   * @param retryDelays when callers of refused calls shall retry
   */
  CallGateway(
      EventLoop loop,
      CallPort local,
      Consumer<BatchEvent> events,
      BiFunction<InetSocketAddress, OwnerHints, OwnerLink> links,
      RetryDelays retryDelays,
      MeterRegistry meters) {
    this.retryDelays = retryDelays;
    this.loop = loop;
    this.local = local;
    this.events = events;
    this.links = links;
    this.meters = meters;
  }

  OwnerView view() {
    return view;
  }

  /** Updates the view of the owner. Called by the decision thread only. */
  void update(OwnerView newView) {
    boolean ownerChanged =
        !address(newView).equals(address(view)) || newView.deciding() != view.deciding();
    view = newView;
    if (ownerChanged) {
      link.ifPresent(previous -> previous.close(newView.owner()));
      link = newView.deciding() ? Optional.empty() : address(newView).flatMap(this::linkTo);
    }
    List.copyOf(pendingRetries).forEach(loop::execute);
  }

  private static Optional<String> address(OwnerView view) {
    return view.owner().map(OwnerHint::address);
  }

  @Override
  public Optional<OwnerHint> known() {
    return view.owner();
  }

  @Override
  public void hinted(OwnerHint hint) {
    events.accept(new BatchEvent.OwnerHinted(hint));
  }

  private Optional<OwnerLink> linkTo(String address) {
    try {
      return Optional.of(links.apply(Addresses.fromPort(1).reader().read(address), this));
    } catch (MalformedValueException e) {
      EventLog.warn(LOGGER, SchedulerEvent.NOT_READY, "owner address " + address);
      return Optional.empty();
    }
  }

  @Override
  public void call(BatchCall call, Duration patience, Consumer<CallAnswer> sink) {
    OpenCall newCall = new OpenCall(call, loop.ticker(), patience, open::remove, sink, meters);
    open.add(newCall);
    newCall.setDeadlineTimer(
        loop.schedule(
            () -> giveUp(newCall, RefusalCause.NO_OWNER),
            patience.toNanos(),
            TimeUnit.NANOSECONDS));
    if (stopped) {
      giveUp(newCall, RefusalCause.STOPPING);
      return;
    }
    send(newCall, INITIAL_RETRY_DELAY, false);
  }

  /**
   * Answers all open calls: as undecided if an owner may have carried them out, else as refused.
   * Called as this VM stops before their deadlines; calls that still come are refused.
   */
  void giveUpAll() {
    stopped = true;
    open.forEach(call -> giveUp(call, RefusalCause.STOPPING));
  }

  /** Answers a call for which no answer has come. */
  private void giveUp(OpenCall call, RefusalCause causeIfNotRun) {
    call.giveUp(
        new CallAnswer.Undecided(timeoutCause()), retryDelays.refusal(causeIfNotRun, call.call()));
  }

  private UndecidedCause timeoutCause() {
    return view.deciding() ? UndecidedCause.STORE_SILENT : UndecidedCause.OWNER_SILENT;
  }

  private void send(OpenCall call, Duration delay, boolean mayBeAccepted) {
    Consumer<CallAnswer> onAnswer = answer -> handleAnswer(call, answer, delay, mayBeAccepted);
    Optional<OwnerLink> owner = link;
    if (!call.beginSend()) {
      return;
    }
    if (view.deciding()) {
      local.call(call.call(), call.remaining(), onAnswer);
    } else if (owner.isPresent()) {
      owner.get().call(call.call(), call.remaining(), onAnswer);
    } else {
      onAnswer.accept(retryDelays.refusal(RefusalCause.NO_OWNER, call.call()));
    }
  }

  private void handleAnswer(
      OpenCall call, CallAnswer answer, Duration delay, boolean mayBeAccepted) {
    if (answer instanceof CallAnswer.Refused refusal && indicatesOwnerFailure(refusal.cause())) {
      events.accept(new BatchEvent.OwnerDoubted());
    }
    boolean undecided = answer instanceof CallAnswer.Undecided;
    // The refusal of a retry says nothing about the earlier sends, which may have been accepted.
    boolean refused = answer instanceof CallAnswer.Refused;
    boolean outcomeUnknown = undecided || (mayBeAccepted && refused);
    if (refused && !outcomeUnknown) {
      call.refused();
    }
    if (!outcomeUnknown && !waitsForOwner(call.call(), answer)) {
      call.answer(answer);
      return;
    }
    if (call.remaining().compareTo(delay) <= 0) {
      boolean definite = undecided || !outcomeUnknown;
      call.answer(definite ? answer : new CallAnswer.Undecided(UndecidedCause.OWNERSHIP_LOST));
      return;
    }
    Retry retry = new Retry(call, nextDelay(delay), outcomeUnknown);
    pendingRetries.add(retry);
    loop.schedule(retry, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static Duration nextDelay(Duration delay) {
    Duration doubled = delay.multipliedBy(2);
    return doubled.compareTo(MAX_RETRY_DELAY) < 0 ? doubled : MAX_RETRY_DELAY;
  }

  /** Returns whether a status call or a cancel was refused only because no owner is ready. */
  private static boolean waitsForOwner(BatchCall call, CallAnswer answer) {
    if (call instanceof BatchCall.Submit || !(answer instanceof CallAnswer.Refused refused)) {
      return false;
    }
    return refused.cause() == RefusalCause.NO_OWNER || refused.cause() == RefusalCause.NOT_OWNER;
  }

  /**
   * Returns whether a refusal shows that the owner cannot reach the store or cannot be reached
   * itself.
   */
  private boolean indicatesOwnerFailure(RefusalCause cause) {
    boolean forwarded = !view.deciding() && link.isPresent();
    return forwarded && (cause == RefusalCause.STORE_AWAY || cause == RefusalCause.NO_OWNER);
  }

  /** Sends a call again once, after the retry delay or when the owner changes. */
  private final class Retry implements Runnable {
    private final OpenCall call;
    private final Duration nextRetryDelay;
    private final boolean mayBeAccepted;

    Retry(OpenCall call, Duration nextRetryDelay, boolean mayBeAccepted) {
      this.call = call;
      this.nextRetryDelay = nextRetryDelay;
      this.mayBeAccepted = mayBeAccepted;
    }

    @Override
    public void run() {
      if (!pendingRetries.remove(this) || call.answered()) {
        return;
      }
      meters
          .counter("fescuehook.batch.repeated", "call", call.call().getClass().getSimpleName())
          .increment();
      send(call, nextRetryDelay, mayBeAccepted);
    }
  }
}
