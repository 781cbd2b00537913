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
 * Brings callers' calls to the owner: this VM, or another one over a link. A call is sent again, to
 * the next owner where there is one, while its caller waits and its fate is not known: every call
 * is idempotent by the id of its job, and callers may not repeat a call themselves after an
 * undecided answer. Questions and cancels wait for an owner in the same way: a caller has a few
 * attempts only, and a refusal tells nothing about the job.
 */
final class CallGateway implements CallPort, OwnerHints {

  private static final Logger LOGGER = LoggerFactory.getLogger(CallGateway.class);

  /** Pause before a call is sent again for the first time; each further one is twice as long. */
  private static final Duration FIRST_PAUSE = Duration.ofMillis(100);

  /** Longest pause; a change of the owner ends it sooner. */
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(400);

  /** When callers come back while there is no owner; a take-over lasts some 3 s. */
  private static final long COME_BACK_MILLIS = 1000;

  private final EventLoop loop;
  private final CallPort local;
  private final Consumer<BatchEvent> events;
  private final BiFunction<InetSocketAddress, OwnerHints, OwnerLink> links;
  private final MeterRegistry meters;
  private final Set<OpenCall> open = ConcurrentHashMap.newKeySet();
  private final Set<Retry> waiting = ConcurrentHashMap.newKeySet();
  private volatile OwnerView view = OwnerView.NONE;
  private volatile Optional<OwnerLink> link = Optional.empty();

  /**
   * Creates a gateway that knows no owner.
   *
   * @param local takes calls while this VM decides
   * @param events takes what the calls show of the owner
   * @param links makes the link to the owner at an address
   */
  CallGateway(
      EventLoop loop,
      CallPort local,
      Consumer<BatchEvent> events,
      BiFunction<InetSocketAddress, OwnerHints, OwnerLink> links,
      MeterRegistry meters) {
    this.loop = loop;
    this.local = local;
    this.events = events;
    this.links = links;
    this.meters = meters;
  }

  OwnerView view() {
    return view;
  }

  /** Takes a newer view; called by the decision thread only. */
  void update(OwnerView newer) {
    boolean moved = !address(newer).equals(address(view)) || newer.deciding() != view.deciding();
    view = newer;
    if (moved) {
      link.ifPresent(former -> former.close(newer.owner()));
      link = newer.deciding() ? Optional.empty() : address(newer).flatMap(this::linkTo);
    }
    List.copyOf(waiting).forEach(loop::execute);
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
    OpenCall opened = new OpenCall(call, loop.ticker(), patience, open::remove, sink, meters);
    open.add(opened);
    opened.endBy(
        loop.schedule(
            () -> opened.answer(new CallAnswer.Undecided(silentCause())),
            patience.toNanos(),
            TimeUnit.NANOSECONDS));
    send(opened, FIRST_PAUSE, false);
  }

  /** Answers all open calls, as this VM ends before their callers' patience does. */
  void giveUpAll() {
    open.forEach(call -> call.answer(new CallAnswer.Undecided(silentCause())));
  }

  private UndecidedCause silentCause() {
    return view.deciding() ? UndecidedCause.STORE_SILENT : UndecidedCause.OWNER_SILENT;
  }

  private void send(OpenCall call, Duration pause, boolean perhapsTaken) {
    Consumer<CallAnswer> answered = answer -> answered(call, answer, pause, perhapsTaken);
    Optional<OwnerLink> owner = link;
    if (view.deciding()) {
      local.call(call.call(), call.left(), answered);
    } else if (owner.isPresent()) {
      owner.get().call(call.call(), call.left(), answered);
    } else {
      answered.accept(new CallAnswer.Refused(RefusalCause.NO_OWNER, COME_BACK_MILLIS));
    }
  }

  private void answered(OpenCall call, CallAnswer answer, Duration pause, boolean perhapsTaken) {
    if (answer instanceof CallAnswer.Refused refused && showsOwnerUnfit(refused.cause())) {
      events.accept(new BatchEvent.OwnerDoubted());
    }
    boolean undecided = answer instanceof CallAnswer.Undecided;
    // A refusal of a repeated call says nothing of the first one, which may have been taken.
    boolean unsure = undecided || (perhapsTaken && answer instanceof CallAnswer.Refused);
    if (!unsure && !waitsForOwner(call.call(), answer)) {
      call.answer(answer);
      return;
    }
    if (call.left().compareTo(pause) <= 0) {
      boolean told = undecided || !unsure;
      call.answer(told ? answer : new CallAnswer.Undecided(UndecidedCause.OWNERSHIP_LOST));
      return;
    }
    Retry retry = new Retry(call, longer(pause), unsure);
    waiting.add(retry);
    loop.schedule(retry, pause.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static Duration longer(Duration pause) {
    Duration doubled = pause.multipliedBy(2);
    return doubled.compareTo(LONGEST_PAUSE) < 0 ? doubled : LONGEST_PAUSE;
  }

  /** Tells whether the answer only says that there is no owner for a question or a cancel. */
  private static boolean waitsForOwner(BatchCall call, CallAnswer answer) {
    if (call instanceof BatchCall.Submit || !(answer instanceof CallAnswer.Refused refused)) {
      return false;
    }
    return refused.cause() == RefusalCause.NO_OWNER || refused.cause() == RefusalCause.NOT_OWNER;
  }

  /**
   * Tells whether a refusal shows that the owner is cut off from the store or cannot be reached.
   */
  private boolean showsOwnerUnfit(RefusalCause cause) {
    boolean passedOn = !view.deciding() && link.isPresent();
    return passedOn && (cause == RefusalCause.STORE_AWAY || cause == RefusalCause.NO_OWNER);
  }

  /** Sends a call again, once: after its pause or when the owner changes. */
  private final class Retry implements Runnable {
    private final OpenCall call;
    private final Duration nextPause;
    private final boolean perhapsTaken;

    Retry(OpenCall call, Duration nextPause, boolean perhapsTaken) {
      this.call = call;
      this.nextPause = nextPause;
      this.perhapsTaken = perhapsTaken;
    }

    @Override
    public void run() {
      if (!waiting.remove(this) || call.ended()) {
        return;
      }
      meters
          .counter("fescuehook.batch.repeated", "call", call.call().getClass().getSimpleName())
          .increment();
      send(call, nextPause, perhapsTaken);
    }
  }
}
