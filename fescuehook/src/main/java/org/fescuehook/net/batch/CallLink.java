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
  private static final Duration WATCH = Duration.ofMillis(200);

  /** Number of unanswered probes after which a connection is considered silent. */
  private static final int MOST_PROBES = 2;

  /** Delay after which callers are told to retry when the owner could not be reached. */
  private static final long COME_BACK_MILLIS = 1000;

  private final EventLoop loop;
  private final InetSocketAddress owner;
  private final PeerConnector connector;
  private final OwnerHints hints;
  private final PeerConnector.Listener listener = new Listener();
  private final Map<Long, Open> open = new LinkedHashMap<>();
  private Optional<Live> current = Optional.empty();
  private Optional<PeerConnector.Connection> former = Optional.empty();
  private boolean connecting;
  private boolean closed;
  private long lastNumber;

  /** A call that has not been answered. */
  private static final class Open {
    private final BatchCall call;
    private final Consumer<CallAnswer> sink;
    private int sends;

    Open(BatchCall call, Consumer<CallAnswer> sink) {
      this.call = call;
      this.sink = sink;
    }
  }

  /** The connection in use, and when the owner was last heard over it. */
  private static final class Live {
    private final PeerConnector.Connection connection;
    private boolean watched;
    private long heardAt;
    private int unanswered;

    Live(PeerConnector.Connection connection) {
      this.connection = connection;
    }

    void heard(long now) {
      heardAt = now;
      unanswered = 0;
    }
  }

  /** Creates a link that opens its connection with its first call. */
  public CallLink(
      EventLoop loop, InetSocketAddress owner, PeerConnector connector, OwnerHints hints) {
    this.loop = loop;
    this.owner = owner;
    this.connector = connector;
    this.hints = hints;
  }

  @Override
  public void call(BatchCall call, Duration patience, Consumer<CallAnswer> sink) {
    loop.execute(() -> take(new Open(call, sink), patience));
  }

  @Override
  public void close(Optional<OwnerHint> next) {
    loop.execute(() -> leave(next));
  }

  private void leave(Optional<OwnerHint> next) {
    closed = true;
    current.ifPresent(
        live -> {
          next.ifPresent(newer -> live.connection.send(CallCodec.moved(newer)));
          live.connection.close();
        });
    current = Optional.empty();
    closeFormer();
    giveUpAll();
  }

  private long now() {
    return loop.ticker().nanoTime();
  }

  private void take(Open call, Duration patience) {
    if (closed) {
      call.sink.accept(unreachable());
      return;
    }
    lastNumber++;
    long number = lastNumber;
    open.put(number, call);
    loop.schedule(() -> expire(number), patience.toNanos(), TimeUnit.NANOSECONDS);
    if (current.isPresent()) {
      send(number, call, current.get());
    } else {
      connect();
    }
  }

  private static CallAnswer unreachable() {
    return new CallAnswer.Refused(RefusalCause.NO_OWNER, COME_BACK_MILLIS);
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

  private void send(long number, Open call, Live over) {
    call.sends++;
    over.connection.send(CallCodec.encode(number, call.call));
    if (!over.watched) {
      over.watched = true;
      over.heard(now());
      watchLater(over);
    }
  }

  private void watchLater(Live live) {
    loop.schedule(() -> watch(live), WATCH.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void watch(Live live) {
    live.watched = !open.isEmpty() && current.filter(live::equals).isPresent();
    if (!live.watched) {
      return;
    }
    long quiet = now() - live.heardAt;
    if (live.unanswered == MOST_PROBES) {
      replace(live, quiet);
      return;
    }
    if (quiet >= WATCH.toNanos()) {
      live.unanswered++;
      live.connection.send(CallCodec.probe());
    }
    watchLater(live);
  }

  private void replace(Live silent, long quietNanos) {
    long millis = TimeUnit.NANOSECONDS.toMillis(quietNanos);
    EventLog.warn(LOGGER, BatchNetEvent.OWNER_SILENT, owner, millis, open.size());
    closeFormer();
    former = Optional.of(silent.connection);
    current = Optional.empty();
    connect();
  }

  private void closeFormer() {
    former.ifPresent(PeerConnector.Connection::close);
    former = Optional.empty();
  }

  private Optional<Open> remove(long number) {
    Optional<Open> removed = Optional.ofNullable(open.remove(number));
    if (open.isEmpty()) {
      closeFormer();
    }
    return removed;
  }

  private void expire(long number) {
    remove(number).ifPresent(CallLink::giveUp);
  }

  private static void giveUp(Open call) {
    call.sink.accept(call.sends == 0 ? unreachable() : silent());
  }

  private void giveUpAll() {
    List<Open> given = List.copyOf(open.values());
    open.clear();
    given.forEach(CallLink::giveUp);
  }

  private void refuseUnsent() {
    List<Long> unsent =
        open.entrySet().stream()
            .filter(entry -> entry.getValue().sends == 0)
            .map(Map.Entry::getKey)
            .toList();
    unsent.forEach(this::expire);
  }

  private void answered(ForwardedAnswer message) {
    Optional<Open> call = remove(message.getCall());
    if (call.isEmpty()) {
      // The answer to a probe, or to a call that was already answered over the other connection.
      return;
    }
    CallAnswer answer = CallCodec.decode(message);
    // The refusal answers only one of the sends; another one may have been accepted.
    boolean unsure = answer instanceof CallAnswer.Refused && call.get().sends > 1;
    call.get().sink.accept(unsure ? silent() : answer);
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
      Live live = new Live(connection);
      current = Optional.of(live);
      List.copyOf(open.keySet()).forEach(number -> send(number, open.get(number), live));
    }

    @Override
    public void failed(String cause) {
      connecting = false;
      EventLog.warn(LOGGER, BatchNetEvent.OWNER_UNREACHABLE, owner, cause);
      refuseUnsent();
      if (former.isEmpty()) {
        giveUpAll();
      } else {
        loop.schedule(this::connectAgain, WATCH.toMillis(), TimeUnit.MILLISECONDS);
      }
    }

    private void connectAgain() {
      if (!closed && !open.isEmpty() && current.isEmpty()) {
        connect();
      }
    }

    @Override
    public void received(PeerConnector.Connection from, ForwardedAnswer message) {
      current.filter(live -> live.connection.equals(from)).ifPresent(live -> live.heard(now()));
      if (message.hasOwner()) {
        hints.hinted(CallCodec.decode(message.getOwner()));
      }
      answered(message);
    }

    @Override
    public void closed(PeerConnector.Connection connection, String cause) {
      if (former.filter(connection::equals).isPresent()) {
        former = Optional.empty();
      } else if (current.filter(live -> live.connection.equals(connection)).isPresent()) {
        EventLog.warn(LOGGER, BatchNetEvent.OWNER_DISCONNECTED, owner, cause, open.size());
        current = Optional.empty();
        giveUpAll();
      }
      if (current.isEmpty() && former.isEmpty() && !connecting) {
        giveUpAll();
      }
    }
  }
}
