package org.fescuehook.entry.scheduler;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
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
import org.fescuehook.net.batch.CallLink;
import org.fescuehook.net.batch.CallPort;
import org.fescuehook.net.batch.OwnerHints;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings callers' calls to the owner: this VM, or another one over a link. A call whose fate is not
 * known is repeated, at the next owner where there is one: every call is idempotent by the id of
 * its job, and callers may not repeat a call themselves after an undecided answer.
 */
final class CallGateway implements CallPort, OwnerHints {

  private static final Logger LOGGER = LoggerFactory.getLogger(CallGateway.class);

  /** Longest time to an answer; callers wait about 3 s. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(2800);

  /** How long a call is repeated whose fate is not known; a take-over lasts some 2.5 s. */
  private static final Duration REPEAT_LIMIT = Duration.ofMillis(2500);

  /** Pause before a call is repeated. */
  private static final Duration REPEAT_PAUSE = Duration.ofMillis(100);

  /** When callers come back while there is no owner; a take-over lasts some 3 s. */
  private static final long COME_BACK_MILLIS = 1000;

  private final EventLoop loop;
  private final BatchRing ring;
  private final MeterRegistry meters;
  private volatile OwnerView view = OwnerView.NONE;
  private volatile Optional<CallLink> link = Optional.empty();

  CallGateway(EventLoop loop, BatchRing ring, MeterRegistry meters) {
    this.loop = loop;
    this.ring = ring;
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
    ring.publish(new BatchEvent.OwnerHinted(hint));
  }

  private Optional<CallLink> linkTo(String address) {
    try {
      InetSocketAddress owner = Addresses.fromPort(1).reader().read(address);
      return Optional.of(new CallLink(loop, owner, this));
    } catch (MalformedValueException e) {
      EventLog.warn(LOGGER, SchedulerEvent.NOT_READY, "owner address " + address);
      return Optional.empty();
    }
  }

  @Override
  public void call(BatchCall call, Consumer<CallAnswer> sink) {
    Consumer<CallAnswer> once = once(call, sink);
    loop.schedule(
        () -> once.accept(new CallAnswer.Undecided(UndecidedCause.STORE_SILENT)),
        ANSWER_TIMEOUT.toMillis(),
        TimeUnit.MILLISECONDS);
    send(call, once, System.nanoTime(), false);
  }

  private void send(BatchCall call, Consumer<CallAnswer> sink, long since, boolean perhapsTaken) {
    Consumer<CallAnswer> answered = answer -> answered(call, answer, sink, since, perhapsTaken);
    if (view.deciding()) {
      ring.call(call, answered);
      return;
    }
    Optional<CallLink> owner = link;
    if (owner.isPresent()) {
      owner.get().call(call, answered);
      return;
    }
    answered.accept(new CallAnswer.Refused(RefusalCause.NO_OWNER, COME_BACK_MILLIS));
  }

  private void answered(
      BatchCall call,
      CallAnswer answer,
      Consumer<CallAnswer> sink,
      long since,
      boolean perhapsTaken) {
    if (answer instanceof CallAnswer.Refused refused && showsOwnerUnfit(refused.cause())) {
      ring.publish(new BatchEvent.OwnerDoubted());
    }
    boolean undecided = answer instanceof CallAnswer.Undecided;
    // A refusal of a repeated call says nothing of the first one, which may have been taken.
    boolean unsure = undecided || (perhapsTaken && answer instanceof CallAnswer.Refused);
    if (!unsure) {
      sink.accept(answer);
      return;
    }
    if (System.nanoTime() - since > REPEAT_LIMIT.toNanos()) {
      sink.accept(undecided ? answer : new CallAnswer.Undecided(UndecidedCause.OWNERSHIP_LOST));
      return;
    }
    meters
        .counter("fescuehook.batch.repeated", "call", call.getClass().getSimpleName())
        .increment();
    loop.schedule(
        () -> send(call, sink, since, true), REPEAT_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Tells whether a refusal shows that the owner is cut off from the store or cannot be reached.
   */
  private boolean showsOwnerUnfit(RefusalCause cause) {
    boolean passedOn = !view.deciding() && link.isPresent();
    return passedOn && (cause == RefusalCause.STORE_AWAY || cause == RefusalCause.NO_OWNER);
  }

  /** Lets the first answer through and drops others, which come after the timeout. */
  private Consumer<CallAnswer> once(BatchCall call, Consumer<CallAnswer> sink) {
    AtomicBoolean answered = new AtomicBoolean();
    long start = System.nanoTime();
    return answer -> {
      if (answered.compareAndSet(false, true)) {
        note(call, answer, System.nanoTime() - start);
        sink.accept(answer);
      }
    };
  }

  private void note(BatchCall call, CallAnswer answer, long nanos) {
    String outcome = answer.getClass().getSimpleName();
    Timer.builder("fescuehook.batch.calls")
        .tag("call", call.getClass().getSimpleName())
        .tag("outcome", outcome)
        .register(meters)
        .record(nanos, TimeUnit.NANOSECONDS);
    boolean unusual =
        answer instanceof CallAnswer.Refused || answer instanceof CallAnswer.Undecided;
    if (unusual) {
      EventLog.info(
          LOGGER,
          SchedulerEvent.CALL_ANSWERED,
          call.getClass().getSimpleName(),
          call.subject().isEmpty() ? call.queue() : call.subject(),
          answer,
          TimeUnit.NANOSECONDS.toMillis(nanos));
    }
  }
}
