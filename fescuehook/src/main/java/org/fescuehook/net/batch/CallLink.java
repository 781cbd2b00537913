package org.fescuehook.net.batch;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.call.RefusalCause;
import org.fescuehook.logic.batch.call.UndecidedCause;
import org.fescuehook.logic.batch.ownership.OwnerHint;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.wire.batch.ForwardedAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards calls to one owner. A call waits for its answer as long as its caller does; a call that
 * was never sent is refused as not run.
 *
 * <p>An owner whose store is slow answers late, while a silent connection never delivers an answer.
 * Probes, which the owner's VM answers without accessing the store, distinguish the two. A silent
 * connection is replaced by a new one, over which the pending calls are sent again. Answers that
 * still arrive over the previous connection are accepted too, since calls are idempotent. All state
 * is confined to one event loop.
 */
public final class CallLink implements OwnerLink {

  private static final Logger LOGGER = LoggerFactory.getLogger(CallLink.class);

  /**
   * Interval at which the connection is checked, and probed if it is silent, while calls are
   * pending. It is short enough that a caller with a timeout of 1 s still gets its answer over a
   * new connection.
   */
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(200);

  /** Number of unanswered probes after which a connection is considered silent. */
  private static final int MAX_UNANSWERED_PROBES = 2;

  /**
   * How long before its timeout an unsent call is refused. The caller's VM ends the call at the
   * same timeout, and would answer that the outcome is unknown.
   */
  private static final Duration UNSENT_MARGIN = Duration.ofMillis(20);

  private final EventLoop loop;
  private final InetSocketAddress owner;
  private final PeerConnector connector;
  private final OwnerHints hints;
  private final RetryDelays retryDelays;
  private final PeerConnector.Listener listener = new Listener();
  private final Map<Long, PendingCall> pending = new LinkedHashMap<>();
  private Optional<ActiveConnection> current = Optional.empty();
  private Optional<PeerConnector.Connection> previous = Optional.empty();
  private boolean connecting;
  private boolean closed;
  private long lastNumber;

  /** A call that has not been answered. */
  private static final class PendingCall {
    private final BatchCall call;
    private final Consumer<CallAnswer> sink;
    private int sends;

    PendingCall(BatchCall call, Consumer<CallAnswer> sink) {
      this.call = call;
      this.sink = sink;
    }
  }

  /** The connection in use, and when the owner was last heard over it. */
  private static final class ActiveConnection {
    private final PeerConnector.Connection connection;
    private boolean monitored;
    private long lastReceivedNanos;
    private int unansweredProbes;

    ActiveConnection(PeerConnector.Connection connection) {
      this.connection = connection;
    }

    void markReceived(long now) {
      lastReceivedNanos = now;
      unansweredProbes = 0;
    }
  }

  /** Creates a link that opens its connection with its first call. */
  public CallLink(
      EventLoop loop,
      InetSocketAddress owner,
      PeerConnector connector,
      OwnerHints hints,
      RetryDelays retryDelays) {
    this.retryDelays = retryDelays;
    this.loop = loop;
    this.owner = owner;
    this.connector = connector;
    this.hints = hints;
  }

  @Override
  public void call(BatchCall call, Duration timeout, Consumer<CallAnswer> sink) {
    loop.execute(() -> submit(new PendingCall(call, sink), timeout));
  }

  @Override
  public void close(Optional<OwnerHint> next) {
    loop.execute(() -> shutDown(next));
  }

  private void shutDown(Optional<OwnerHint> next) {
    closed = true;
    current.ifPresent(
        active -> {
          next.ifPresent(newer -> active.connection.send(CallCodec.ownerMoved(newer), () -> {}));
          active.connection.close();
        });
    current = Optional.empty();
    closePrevious();
    resolveAllUnanswered();
  }

  private long now() {
    return loop.ticker().nanoTime();
  }

  private void submit(PendingCall call, Duration timeout) {
    if (closed) {
      call.sink.accept(unreachable(call));
      return;
    }
    lastNumber++;
    long number = lastNumber;
    pending.put(number, call);
    loop.schedule(
        () -> refuseUnsent(number),
        Math.max(0, timeout.minus(UNSENT_MARGIN).toNanos()),
        TimeUnit.NANOSECONDS);
    loop.schedule(() -> expire(number), timeout.toNanos(), TimeUnit.NANOSECONDS);
    if (current.isPresent()) {
      send(number, call, current.get());
    } else {
      connect();
    }
  }

  private CallAnswer unreachable(PendingCall call) {
    return retryDelays.refusal(RefusalCause.NO_OWNER, call.call);
  }

  private static CallAnswer silent() {
    return new CallAnswer.Undecided(UndecidedCause.OWNER_SILENT);
  }

  private void connect() {
    if (!connecting) {
      connecting = true;
      connector.connect(listener);
    }
  }

  private void send(long number, PendingCall call, ActiveConnection active) {
    call.sends++;
    active.connection.send(CallCodec.encode(number, call.call), () -> call.sends--);
    if (!active.monitored) {
      active.monitored = true;
      active.markReceived(now());
      scheduleCheck(active);
    }
  }

  private void scheduleCheck(ActiveConnection active) {
    loop.schedule(() -> check(active), PROBE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void check(ActiveConnection active) {
    active.monitored = !pending.isEmpty() && current.filter(active::equals).isPresent();
    if (!active.monitored) {
      return;
    }
    long silentNanos = now() - active.lastReceivedNanos;
    if (active.unansweredProbes == MAX_UNANSWERED_PROBES) {
      replace(active, silentNanos);
      return;
    }
    if (silentNanos >= PROBE_INTERVAL.toNanos()) {
      active.unansweredProbes++;
      active.connection.send(CallCodec.probe(), () -> {});
    }
    scheduleCheck(active);
  }

  private void replace(ActiveConnection silentConnection, long silentNanos) {
    long millis = TimeUnit.NANOSECONDS.toMillis(silentNanos);
    EventLog.warn(LOGGER, BatchNetEvent.OWNER_SILENT, owner, millis, pending.size());
    closePrevious();
    previous = Optional.of(silentConnection.connection);
    current = Optional.empty();
    connect();
  }

  private void closePrevious() {
    previous.ifPresent(PeerConnector.Connection::close);
    previous = Optional.empty();
  }

  private Optional<PendingCall> remove(long number) {
    Optional<PendingCall> removed = Optional.ofNullable(pending.remove(number));
    if (pending.isEmpty()) {
      closePrevious();
    }
    return removed;
  }

  private void refuseUnsent(long number) {
    PendingCall call = pending.get(number);
    if (call != null && call.sends == 0) {
      expire(number);
    }
  }

  private void expire(long number) {
    remove(number).ifPresent(this::resolveUnanswered);
  }

  private void resolveUnanswered(PendingCall call) {
    call.sink.accept(call.sends == 0 ? unreachable(call) : silent());
  }

  private void resolveAllUnanswered() {
    List<PendingCall> unanswered = List.copyOf(pending.values());
    pending.clear();
    unanswered.forEach(this::resolveUnanswered);
  }

  private void refuseUnsent() {
    List<Long> unsent =
        pending.entrySet().stream()
            .filter(entry -> entry.getValue().sends == 0)
            .map(Map.Entry::getKey)
            .toList();
    unsent.forEach(this::expire);
  }

  private void answered(ForwardedAnswer message) {
    Optional<PendingCall> call = remove(message.getCall());
    if (call.isEmpty()) {
      // The answer to a probe, or to a call that was already answered over the other connection.
      return;
    }
    CallAnswer answer = CallCodec.decode(message);
    // The refusal answers only one of the sends; another one may have been accepted.
    boolean mayHaveBeenAccepted = answer instanceof CallAnswer.Refused && call.get().sends > 1;
    call.get().sink.accept(mayHaveBeenAccepted ? silent() : answer);
  }

  private final class Listener implements PeerConnector.Listener {
    @Override
    public void opened(PeerConnector.Connection connection) {
      connecting = false;
      if (closed) {
        connection.close();
        return;
      }
      EventLog.info(LOGGER, BatchNetEvent.OWNER_CONNECTED, owner);
      ActiveConnection active = new ActiveConnection(connection);
      current = Optional.of(active);
      List.copyOf(pending.keySet()).forEach(number -> send(number, pending.get(number), active));
    }

    @Override
    public void failed(String cause) {
      connecting = false;
      EventLog.warn(LOGGER, BatchNetEvent.OWNER_UNREACHABLE, owner, cause);
      refuseUnsent();
      if (previous.isEmpty()) {
        resolveAllUnanswered();
      } else {
        loop.schedule(this::reconnect, PROBE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
      }
    }

    private void reconnect() {
      if (!closed && !pending.isEmpty() && current.isEmpty()) {
        connect();
      }
    }

    @Override
    public void received(PeerConnector.Connection from, ForwardedAnswer message) {
      current
          .filter(active -> active.connection.equals(from))
          .ifPresent(active -> active.markReceived(now()));
      if (message.hasOwner()) {
        hints.hinted(CallCodec.decode(message.getOwner()));
      }
      answered(message);
    }

    @Override
    public void closed(PeerConnector.Connection connection, String cause) {
      if (previous.filter(connection::equals).isPresent()) {
        previous = Optional.empty();
      } else if (current.filter(active -> active.connection.equals(connection)).isPresent()) {
        EventLog.warn(LOGGER, BatchNetEvent.OWNER_DISCONNECTED, owner, cause, pending.size());
        current = Optional.empty();
        resolveAllUnanswered();
      }
      if (current.isEmpty() && previous.isEmpty() && !connecting) {
        resolveAllUnanswered();
      }
    }
  }
}
