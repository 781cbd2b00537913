package org.fescuehook.entry;

import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.core.instrument.binder.system.UptimeMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fescuehook.logic.control.ControlCore;
import org.fescuehook.logic.control.ControlEvent;
import org.fescuehook.logic.control.DeclarationsReader;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.scheduling.Scheduler;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.preferences.AddressPreferences;
import org.fescuehook.model.preferences.EntryPreferences;
import org.fescuehook.model.preferences.MembershipPreferences;
import org.fescuehook.net.caller.RequestPath;
import org.fescuehook.net.caller.ServicePortException;
import org.fescuehook.net.duty.RepeatingDuty;
import org.fescuehook.net.operator.OperatorServer;
import org.fescuehook.net.peer.PeerLinks;
import org.fescuehook.net.peer.PeerServer;
import org.fescuehook.net.platform.HttpLogService;
import org.fescuehook.net.platform.HttpMemberList;
import org.fescuehook.net.platform.LogAppendRing;
import org.fescuehook.net.platform.LogTail;
import org.fescuehook.net.worker.HttpWorkerPort;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An entry VM. Creates its components and threads, starts them and stops them gracefully. */
public final class EntryProgram {

  private static final Logger LOGGER = LoggerFactory.getLogger(EntryProgram.class);
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration WORKER_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration DUTY_STOP_TIMEOUT = Duration.ofSeconds(2);
  private static final int APPEND_RING_SIZE = 4096;
  private static final int MAX_REQUEST_LOOPS = 4;

  private final EntryPreferences preferences;
  private final String incarnation = UUID.randomUUID().toString();
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final JvmGcMetrics gcMetrics = new JvmGcMetrics();
  private final EventLoopGroup requestLoops = loops("requests", requestLoops());
  private final EventLoopGroup controlLoops = loops("control", 1);
  private final DecisionRing decisions;
  private final LogAppendRing appends;
  private final ConfigurationKeeper configuration;
  private final VmState state;
  private final PeerLinks links;
  private final PeerServer peerServer;
  private final RequestPath requests;
  private final HttpWorkerPort workers;
  private final DecisionDuty decisionDuty;
  private final OperatorServer operatorServer;
  private final RepeatingDuty peerDuty;
  private final List<RepeatingDuty> duties;
  private final GracefulStop gracefulStop;
  private final AtomicBoolean stopStarted = new AtomicBoolean();
  private final CountDownLatch stopped = new CountDownLatch(1);

  /** Creates a VM without opening a port or starting a thread. */
  public EntryProgram(
      EntryPreferences preferences, Scheduler scheduler, DeclarationsReader reader) {
    this.preferences = preferences;
    MembershipPreferences membership = preferences.membership();
    this.decisions = new DecisionRing(preferences.control().tick(), meters);
    this.configuration = new ConfigurationKeeper(this::configurationInForce);
    this.state = new VmState(preferences.identity().vm(), membership, configuration);
    this.appends = new LogAppendRing("append", APPEND_RING_SIZE, log(), PLATFORM_TIMEOUT, meters);
    PeerAnswers answers = new PeerAnswers(state, configuration, reader, this::outcome);
    this.links =
        new PeerLinks(
            controlLoops, preferences.identity(), incarnation, membership.peerTimeout(), answers);
    this.peerServer =
        new PeerServer(
            controlLoops,
            preferences.identity(),
            incarnation,
            membership.peerTimeout().multipliedBy(5),
            answers,
            meters);
    this.requests = requestPath();
    this.workers =
        new HttpWorkerPort(
            controlLoops,
            WORKER_TIMEOUT,
            reply -> decisions.publish(new ControlEvent.WorkerAnswered(reply)),
            meters);
    this.decisionDuty = decisionDuty(scheduler, reader);
    ListDuty listDuty = listDuty();
    this.peerDuty = peerDuty();
    this.duties = duties(listDuty);
    this.gracefulStop = new GracefulStop(membership, state, requests, decisions);
    this.operatorServer = operatorServer(listDuty);
  }

  /**
   * Opens the ports and starts the threads.
   *
   * @return the addresses on which the VM listens
   * @throws EntryStartException if a port cannot be opened; everything is closed then
   */
  public EntryAddresses start() throws EntryStartException {
    bindProcessMetrics();
    EntryAddresses addresses;
    try {
      addresses = openPorts();
    } catch (EntryStartException e) {
      close();
      throw e;
    }
    appends.start();
    decisions.start(decisionDuty);
    duties.forEach(RepeatingDuty::start);
    EventLog.info(
        LOGGER,
        EntryEvent.STARTED,
        preferences.identity().vm(),
        incarnation,
        addresses.service(),
        addresses.peer(),
        addresses.operator());
    return addresses;
  }

  /** Starts the graceful stop on a separate thread. Idempotent. */
  public void beginStop() {
    Thread thread = new Thread(this::stop, "stop");
    thread.start();
  }

  /** Stops gracefully and blocks until the stop has ended. A second call waits for the first. */
  public void stop() {
    if (stopStarted.compareAndSet(false, true)) {
      long start = System.nanoTime();
      stopOnce();
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      EventLog.info(LOGGER, EntryEvent.STOPPED, millis);
      stopped.countDown();
      return;
    }
    try {
      awaitStop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until the graceful stop has ended. */
  public void awaitStop() throws InterruptedException {
    stopped.await();
  }

  private void stopOnce() {
    try {
      gracefulStop.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    appends.stop(DUTY_STOP_TIMEOUT);
    duties.forEach(RepeatingDuty::stop);
    decisions.stop(DUTY_STOP_TIMEOUT);
    close();
  }

  private void close() {
    requests.close();
    operatorServer.close();
    peerServer.close();
    links.close();
    workers.close();
    controlLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    requestLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    gcMetrics.close();
  }

  private EntryAddresses openPorts() throws EntryStartException {
    AddressPreferences configured = preferences.addresses();
    InetSocketAddress peer =
        open("bind peer port", configured.peer(), () -> peerServer.start(configured.peer()));
    InetSocketAddress operator =
        open(
            "bind operators' port",
            configured.operator(),
            () -> operatorServer.start(configured.operator()));
    InetSocketAddress service =
        open("bind service port", configured.service(), this::startRequests);
    return new EntryAddresses(service, peer, operator);
  }

  private InetSocketAddress startRequests() throws IOException {
    try {
      return requests.start();
    } catch (ServicePortException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  private static InetSocketAddress open(String step, InetSocketAddress address, PortOpener opener)
      throws EntryStartException {
    try {
      return opener.open();
    } catch (IOException e) {
      throw new EntryStartException(step, address, e);
    }
  }

  private void configurationInForce(Configuration newest) {
    workers.configurationInForce(newest);
    requests.configurationInForce(newest);
    peerDuty.wake();
  }

  private Optional<OutcomeReply> outcome(RequestKey key) {
    return requests.outcome(key);
  }

  private RequestPath requestPath() {
    return new RequestPath(
        preferences.identity(),
        incarnation,
        preferences.requests(),
        requestLoops,
        decisions,
        appends,
        links,
        meters,
        preferences.addresses().service());
  }

  private DecisionDuty decisionDuty(Scheduler scheduler, DeclarationsReader reader) {
    ControlCore core =
        new ControlCore(
            preferences.identity(), incarnation, preferences.control(), scheduler, reader);
    return new DecisionDuty(
        core,
        decisions,
        appends,
        workers,
        requests,
        configuration,
        state,
        preferences.control().tick(),
        meters);
  }

  private ListDuty listDuty() {
    HttpMemberList list =
        new HttpMemberList(controlLoop(), preferences.addresses().list(), PLATFORM_TIMEOUT);
    return new ListDuty(
        list,
        preferences.identity().vm(),
        decisions,
        requests,
        links,
        meters,
        preferences.membership().listInterval());
  }

  private List<RepeatingDuty> duties(ListDuty listDuty) {
    LogTail control = new LogTail(log(), "control", new ControlSink(decisions, state), meters);
    LogTail claims = new LogTail(log(), "requests", new RequestSink(requests), meters);
    return List.of(
        new RepeatingDuty("read-control", control::step),
        new RepeatingDuty("read-requests", claims::step),
        new RepeatingDuty("list", listDuty::step),
        peerDuty);
  }

  private RepeatingDuty peerDuty() {
    PeerDuty peers =
        new PeerDuty(
            links,
            state,
            configuration,
            decisions,
            requests,
            preferences.membership().peerHeartbeat());
    return new RepeatingDuty("peers", peers::step);
  }

  private OperatorServer operatorServer(ListDuty listDuty) {
    VmBackend backend =
        new VmBackend(
            preferences.identity(),
            incarnation,
            state,
            configuration,
            requests,
            listDuty,
            meters,
            this::beginStop);
    return new OperatorServer(
        controlLoops, preferences.addresses().operatorToken(), backend, decisions, meters);
  }

  private HttpLogService log() {
    return new HttpLogService(controlLoop(), preferences.addresses().log(), PLATFORM_TIMEOUT);
  }

  private EventLoop controlLoop() {
    return controlLoops.next();
  }

  private void bindProcessMetrics() {
    new JvmMemoryMetrics().bindTo(meters);
    new JvmThreadMetrics().bindTo(meters);
    new ProcessorMetrics().bindTo(meters);
    new UptimeMetrics().bindTo(meters);
    gcMetrics.bindTo(meters);
  }

  private static EventLoopGroup loops(String name, int threads) {
    return new MultiThreadIoEventLoopGroup(
        threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
  }

  private static int requestLoops() {
    return Math.clamp(Runtime.getRuntime().availableProcessors(), 1, MAX_REQUEST_LOOPS);
  }

  @FunctionalInterface
  private interface PortOpener {
    InetSocketAddress open() throws IOException;
  }
}
