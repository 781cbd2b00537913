package org.fescuehook.net.batch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.wire.batch.ForwardedAnswer;
import org.fescuehook.wire.batch.ForwardedCall;
import org.junit.jupiter.api.Test;

/**
 * Guards against answering a forwarded call as undecided although the owner is alive and only its
 * store is slow. That happens if the link treats a connection as silent when an answer takes long
 * (a cancel acknowledged after 1 s with a limit of 0.9 s), closes it and drops the late answer.
 */
class SlowOwnerTest {

  private static final BatchCall CALL = new BatchCall.Cancel("q", "key", "a1");
  private static final Duration TIMEOUT = Duration.ofMillis(2800);
  private static final CallAnswer SILENT = new CallAnswer.Undecided(UndecidedCause.OWNER_SILENT);

  private final EmbeddedChannel clock = new EmbeddedChannel();
  private final FakePeer peer = new FakePeer();
  private final List<CallAnswer> answers = new ArrayList<>();
  private final CallLink link;

  SlowOwnerTest() {
    clock.freezeTime();
    link =
        new CallLink(
            clock.eventLoop(),
            InetSocketAddress.createUnresolved("owner", 1),
            peer,
            new NoHints(),
            new RetryDelays(false));
  }

  /** Knows no owner and ignores hints. */
  private static final class NoHints implements OwnerHints {
    @Override
    public Optional<OwnerHint> known() {
      return Optional.empty();
    }

    @Override
    public void hinted(OwnerHint hint) {
      // These tests don't check hints.
    }
  }

  /** Fake of the owner's VM: answers probes while alive, and calls only when the test says so. */
  private static final class FakePeer implements PeerConnector {
    private final List<FakeConnection> connections = new ArrayList<>();
    private Optional<Listener> listener = Optional.empty();
    private boolean alive = true;
    private boolean reachable = true;
    private boolean writable = true;
    private boolean connects = true;

    private final class FakeConnection implements Connection {
      private final List<ForwardedCall> calls = new ArrayList<>();
      private boolean closed;

      @Override
      public void send(ForwardedCall message, Runnable onUnsent) {
        if (!writable) {
          onUnsent.run();
          return;
        }
        if (!CallCodec.isProbe(message)) {
          calls.add(message);
        } else if (alive) {
          deliver(this, CallCodec.probeAnswer());
        }
      }

      @Override
      public void close() {
        closed = true;
      }
    }

    @Override
    public void connect(Listener target) {
      listener = Optional.of(target);
      if (!connects) {
        return;
      }
      if (!reachable) {
        target.failed("refused");
        return;
      }
      connections.add(new FakeConnection());
      target.opened(connections.getLast());
    }

    private void deliver(FakeConnection over, ForwardedAnswer message) {
      if (!over.closed) {
        listener.orElseThrow().received(over, message);
      }
    }

    private void answer(int connection, CallAnswer answer) {
      FakeConnection over = connections.get(connection);
      deliver(over, CallCodec.encode(over.calls.getFirst().getCall(), answer));
    }

    private void breakConnection(int connection) {
      listener.orElseThrow().closed(connections.get(connection), "reset");
    }
  }

  private void call() {
    link.call(CALL, TIMEOUT, answers::add);
    advance(0);
  }

  private void advance(long millis) {
    long remaining = millis;
    while (remaining > 0) {
      long step = Math.min(50, remaining);
      clock.advanceTimeBy(step, TimeUnit.MILLISECONDS);
      clock.runPendingTasks();
      remaining -= step;
    }
    clock.runPendingTasks();
  }

  @Test
  void anAnswerDelayedByASlowStoreReachesItsCaller() {
    call();
    advance(2500);
    peer.answer(0, new CallAnswer.Cancelled());
    assertEquals(List.of(new CallAnswer.Cancelled()), answers);
    assertEquals(1, peer.connections.size(), "an owner that lives keeps its connection");
    assertEquals(1, peer.connections.getFirst().calls.size(), "and is asked once");
  }

  @Test
  void resendsCallsOfASilentConnectionOverANewOne() {
    call();
    peer.alive = false;
    advance(1000);
    assertEquals(2, peer.connections.size());
    peer.answer(1, new CallAnswer.Cancelled());
    assertEquals(List.of(new CallAnswer.Cancelled()), answers);
  }

  @Test
  void replacesAConnectionThatFallsSilentAfterAnsweringProbes() {
    call();
    advance(1500);
    assertEquals(1, peer.connections.size());
    peer.alive = false;
    advance(1000);
    assertEquals(2, peer.connections.size());
  }

  @Test
  void acceptsALateAnswerOverThePreviousConnection() {
    call();
    peer.alive = false;
    advance(1000);
    peer.answer(0, new CallAnswer.Cancelled());
    assertEquals(List.of(new CallAnswer.Cancelled()), answers);
    assertTrue(peer.connections.getFirst().closed, "nothing more is awaited over it");
  }

  @Test
  void answersUndecidedWhenOnlyOneOfTwoSendsIsRefused() {
    call();
    peer.alive = false;
    advance(1000);
    peer.answer(1, new CallAnswer.Refused(RefusalCause.STORE_AWAY, 1000));
    assertEquals(List.of(SILENT), answers);
  }

  @Test
  void answersUndecidedWhenTheCallTimesOut() {
    call();
    advance(2750);
    assertEquals(List.of(), answers);
    advance(50);
    assertEquals(List.of(SILENT), answers);
  }

  @Test
  void refusesACallThatWasNeverSent() {
    peer.reachable = false;
    call();
    assertEquals(List.of(new CallAnswer.Refused(RefusalCause.NO_OWNER, 1000)), answers);
  }

  @Test
  void answersUndecidedAtOnceWhenTheConnectionBreaks() {
    call();
    peer.breakConnection(0);
    assertEquals(List.of(SILENT), answers);
  }

  /**
   * Guards against 504 for a call that reached no owner: the connection broke before the call was
   * written to it.
   */
  @Test
  void refusesACallThatWasNotWrittenBeforeTheConnectionBroke() {
    peer.writable = false;
    call();
    assertEquals(List.of(), answers);
    peer.breakConnection(0);
    assertEquals(List.of(new CallAnswer.Refused(RefusalCause.NO_OWNER, 1000)), answers);
  }

  /**
   * Guards against 504 for a call that was refused by the only owner that had it: the second
   * connection did not take the call.
   */
  @Test
  void passesARefusalOnIfTheSecondConnectionDidNotTakeTheCall() {
    call();
    peer.alive = false;
    peer.writable = false;
    advance(1000);
    CallAnswer refused = new CallAnswer.Refused(RefusalCause.STORE_AWAY, 1000);
    peer.answer(0, refused);
    assertEquals(2, peer.connections.size());
    assertEquals(List.of(refused), answers);
  }

  /**
   * Guards against 504 for a call that was never sent: the caller's VM ends the call at the same
   * timeout as the link, and does not know whether it was sent.
   */
  @Test
  void refusesAnUnsentCallShortlyBeforeItsTimeout() {
    peer.connects = false;
    call();
    advance(2700);
    assertEquals(List.of(), answers);
    advance(80);
    assertEquals(List.of(new CallAnswer.Refused(RefusalCause.NO_OWNER, 1000)), answers);
  }

  @Test
  void answersUndecidedWhenTheLinkClosesForANewerOwner() {
    call();
    link.close(Optional.empty());
    advance(0);
    assertEquals(List.of(SILENT), answers);
    assertTrue(peer.connections.getFirst().closed);
  }
}
