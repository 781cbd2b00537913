package org.fescuehook.net.caller;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fescuehook.logic.control.ControlPort;
import org.fescuehook.logic.dispatch.DispatchCore;
import org.fescuehook.logic.dispatch.DispatchEvent;
import org.fescuehook.logic.dispatch.LocalOutcomes;
import org.fescuehook.logic.dispatch.OutcomeFetcher;
import org.fescuehook.logic.dispatch.RequestEvent;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.platform.LogAppender;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.net.executor.ExecutorClient;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestKey;
import org.fescuehook.wire.SlotShares;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects the parts of an entry VM that serve requests: the service port, the dispatch thread and
 * the client of the executors.
 */
public final class RequestPath implements AutoCloseable {
  private static final Logger LOGGER = LoggerFactory.getLogger(RequestPath.class);

  private final EventLoopGroup loops;
  private final InetSocketAddress serviceAddress;
  private final RequestMetrics metrics;
  private final ServiceRequestParser parser;
  private final JobsEndpoint jobs;
  private final CallerServer server;
  private final ExecutorClient executors;
  private final LocalOutcomes localOutcomes = new LocalOutcomes();
  private final CommandPerformer performer;
  private final DispatchCore core;
  private final DispatchThread thread;
  private final Duration probeInterval;
  private final AtomicLong tickets = new AtomicLong();
  private volatile int unrecorded;
  private volatile Optional<RefusalReason> notReadyReason = Optional.of(RefusalReason.NOT_READY);

  /**
   * Creates the path and starts its dispatch thread; no port is opened before {@link #start()}.
   *
   * @param incarnation distinguishes starts of the same VM
   * @param loops event loops for callers and executors, closed by their owner
   * @param serviceAddress where callers connect; port 0 lets the system choose one
   */
  public RequestPath(
      IdentityPreferences identity,
      String incarnation,
      RequestPreferences preferences,
      EventLoopGroup loops,
      ControlPort control,
      LogAppender log,
      OutcomeFetcher outcomes,
      MeterRegistry metrics,
      InetSocketAddress serviceAddress) {
    this.loops = loops;
    this.probeInterval = preferences.probeInterval();
    this.serviceAddress = serviceAddress;
    this.metrics = new RequestMetrics(metrics);
    this.parser = new ServiceRequestParser(preferences);
    this.jobs = new JobsEndpoint(control, preferences);
    this.server = new CallerServer(loops, preferences, this.metrics, this::received);
    this.executors = new ExecutorClient(loops, metrics);
    this.thread =
        new DispatchThread("dispatch", DispatchThread.RING_SIZE, this::handle, this.metrics);
    this.performer =
        new CommandPerformer(executors, log, outcomes, this.metrics, new RingEventSink());
    Random jitter = new Random(identity.hashCode() ^ incarnation.hashCode());
    this.core =
        new DispatchCore(identity, incarnation, preferences, localOutcomes, jitter, performer);
    thread.start();
  }

  /**
   * Opens the service port.
   *
   * @return the address in use
   * @throws ServicePortException if the port cannot be opened
   */
  public InetSocketAddress start() throws ServicePortException {
    InetSocketAddress address = server.start(serviceAddress);
    EventLog.info(LOGGER, RequestEvent.SERVICE_PORT_OPEN, address);
    return address;
  }

  /**
   * Handles an event on the dispatch thread. The connection of an ended dispatch is returned, and a
   * new configuration applied to the executors, before the core handles the event.
   */
  private void handle(DispatchEvent event) {
    switch (event) {
      case DispatchEvent.DispatchEnded ended -> performer.dispatchEnded(ended.ticket());
      case DispatchEvent.Configured configured ->
          executors.configure(configured.configuration().declarations().fleet().executors());
      default -> {}
    }
    core.handle(event, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    unrecorded = core.unrecorded();
    switch (event) {
      case DispatchEvent.Shared _ -> executors.limitConnections(core.connectionLimits());
      case DispatchEvent.Tick _ -> {
        executors.limitConnections(core.connectionLimits());
        executors.probe(probeInterval, this::suspect);
      }
      default -> {}
    }
  }

  /** Reports an executor that did not answer a probe to the core. Called on event loops. */
  private void suspect(ExecutorId executor) {
    thread.deliver(new DispatchEvent.PathSuspected(executor), loops.next());
  }

  /** Handles a whole request of a caller, on the event loop of its connection. */
  private void received(CallerExchange exchange) {
    boolean bodyTransferred = false;
    try {
      ServiceRequest request =
          parser.parse(exchange.head(), exchange.body(), exchange.receivedNanos());
      bodyTransferred = handle(exchange, request);
    } catch (MalformedRequestException e) {
      exchange.refuse(Refusal.of(e.reason(), e.getMessage()));
    } finally {
      if (!bodyTransferred) {
        exchange.body().release();
      }
    }
  }

  /** Handles a parsed request; returns whether the dispatch thread will release the body. */
  private boolean handle(CallerExchange exchange, ServiceRequest request)
      throws MalformedRequestException {
    switch (request) {
      case ServiceRequest.Forward forward -> {
        return forward(exchange, forward);
      }
      case ServiceRequest.Submit submit -> submit(exchange, submit);
      case ServiceRequest.Show show -> jobs.show(exchange, show);
      case ServiceRequest.Cancel cancel -> jobs.cancel(exchange, cancel);
    }
    return false;
  }

  private boolean forward(CallerExchange exchange, ServiceRequest.Forward forward) {
    long ticket = tickets.incrementAndGet();
    performer.open(ticket, new OpenExchange(exchange, forward));
    boolean offered = thread.offer(new DispatchEvent.Arrived(ticket, forward.attributes()));
    if (!offered) {
      performer.discard(ticket);
      exchange.refuse(Refusal.of(RefusalReason.QUEUE_FULL, "too many requests at once"));
      return false;
    }
    exchange.whenGone(() -> thread.deliver(new DispatchEvent.Cancelled(ticket), exchange.loop()));
    return true;
  }

  private void submit(CallerExchange exchange, ServiceRequest.Submit submit)
      throws MalformedRequestException {
    Optional<RefusalReason> closed = notReadyReason;
    if (closed.isPresent()) {
      exchange.refuse(Refusal.of(closed.get(), "this entry VM takes no jobs now"));
      return;
    }
    jobs.submit(exchange, submit);
  }

  /** Applies a configuration to the dispatch of requests. */
  public void configurationInForce(Configuration configuration) {
    thread.put(new DispatchEvent.Configured(configuration));
  }

  /** Applies this VM's shares of the executors' slots. */
  public void sharesInForce(SlotShares shares) {
    thread.put(new DispatchEvent.Shared(shares));
  }

  /** Sets the executors that are leaving; they get no new requests. */
  public void executorsLeaving(Set<ExecutorId> leaving) {
    thread.put(new DispatchEvent.Leaving(Set.copyOf(leaving)));
  }

  /** Handles a record of the stream {@code requests}. Called by the thread that reads it. */
  public void onRequestRecord(LogRecord record) {
    thread.put(new DispatchEvent.RecordRead(record));
  }

  /** Reports that a read reached the end of the stream {@code requests}. */
  public void onRequestsCaughtUp(long earliest, long next) {
    thread.put(new DispatchEvent.CaughtUp(earliest, next));
  }

  /** Reports whether the log is reachable. */
  public void logReachable(boolean reachable) {
    thread.put(new DispatchEvent.LogReachable(reachable));
  }

  /** Returns the outcome of a request that this VM claimed; empty if it knows none. */
  public Optional<OutcomeReply> outcome(RequestKey key) {
    return localOutcomes.find(key);
  }

  /**
   * Sets whether new requests are accepted; while they are not, they are refused with the reason
   * {@code why}.
   */
  public void ready(boolean ready, RefusalReason why) {
    notReadyReason = ready ? Optional.empty() : Optional.of(why);
    thread.put(new DispatchEvent.Ready(ready, why));
  }

  /**
   * Stops accepting connections, answers the requests in flight and closes idle connections.
   *
   * @param idleLimit time for which a connection must have been idle before it is closed
   */
  public void drain(Duration idleLimit) {
    server.drain(idleLimit);
    EventLog.info(LOGGER, RequestEvent.SERVICE_PORT_DRAINING, inFlight());
  }

  /** Returns the number of unanswered requests plus that of outcomes not yet known to be logged. */
  public int inFlight() {
    return Math.max(metrics.inFlight().get(), performer.openRequests()) + unrecorded;
  }

  /** Closes all connections without waiting for requests in flight. */
  @Override
  public void close() {
    server.close();
    // Only the dispatch thread may use the client while it runs. If it does not end in time, the
    // connections to executors end with the event loops.
    if (thread.halt()) {
      executors.close();
    }
  }

  private final class RingEventSink implements CommandPerformer.EventSink {
    @Override
    public void deliver(DispatchEvent event, EventLoop loop) {
      thread.deliver(event, loop);
    }

    @Override
    public void put(DispatchEvent event) {
      thread.put(event);
    }

    @Override
    public EventLoop anyLoop() {
      return loops.next();
    }
  }
}
