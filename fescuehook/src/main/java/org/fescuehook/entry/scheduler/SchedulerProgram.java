package org.fescuehook.entry.scheduler;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fescuehook.logic.batch.BatchCore;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.admission.ConfigurationAge;
import org.fescuehook.logic.batch.admission.RetryDelays;
import org.fescuehook.logic.batch.ownership.OwnerIdentity;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.ini.Addresses;
import org.fescuehook.model.preferences.SchedulerPreferences;
import org.fescuehook.net.batch.CallLink;
import org.fescuehook.net.batch.CallServer;
import org.fescuehook.net.batch.NettyPeerConnector;
import org.fescuehook.platform.AdviceClient;
import org.fescuehook.platform.CallerEdge;
import org.fescuehook.platform.ExecutorClient;
import org.fescuehook.platform.ExecutorProbe;
import org.fescuehook.platform.MachineClient;
import org.fescuehook.platform.PlatformStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A VM that schedules batch jobs. Creates its components, starts them and stops them gracefully.
 */
public final class SchedulerProgram {

  private static final Logger LOGGER = LoggerFactory.getLogger(SchedulerProgram.class);

  /**
   * Interval of the decision thread's ticks while a deadline is near. The periods of leases and
   * heartbeats are multiples of it.
   */
  private static final Duration TICK = Duration.ofMillis(50);

  /**
   * Time for which a stopping VM still accepts connections: the load balancer checks readiness once
   * a second and stops using a VM after two failed checks.
   */
  private static final Duration BALANCER_DRAIN_TIME = Duration.ofMillis(2300);

  /** Longest duration of the graceful stop. The platform kills the process after 6 s. */
  private static final Duration STOP_TIMEOUT = Duration.ofMillis(5000);

  /** Longest time for which the stop waits until the last answers are written. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(300);

  private static final Duration STOP_POLL_INTERVAL = Duration.ofMillis(20);
  private static final Duration SHUTDOWN_TIMEOUT = Duration.ofMillis(200);

  private final SchedulerPreferences preferences;
  private final String incarnation = UUID.randomUUID().toString().substring(0, 13);
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("net", true), NioIoHandler.newFactory());
  private final RetryDelays retryDelays;
  private final BatchRing ring;
  private final CallGateway gateway;
  private final CallerEdge callers;
  private final CallServer peers;
  private final StatusServer readiness;
  private final StatusServer metrics;
  private final PlatformStore store;
  private final BatchDuty decisions;
  private final AtomicBoolean stopStarted = new AtomicBoolean();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile boolean configured;

  /** Creates a VM without opening a port or starting a thread. */
  public SchedulerProgram(SchedulerPreferences preferences) {
    this.preferences = preferences;
    EventLoop loop = loops.next();
    this.retryDelays = new RetryDelays(preferences.batch().scheduling().backlogAdmission());
    ConfigurationAge configurationAge = new ConfigurationAge();
    FunctionCounter.builder("fescuehook.log.dropped", this, vm -> CountingLogAppender.dropped())
        .register(meters);
    this.ring = new BatchRing(TICK, retryDelays, meters);
    this.gateway = gateway(loop);
    this.callers =
        new CallerEdge(loops, gateway, configurationAge, System::nanoTime, retryDelays, meters);
    this.peers = new CallServer(loops, ring, gateway);
    this.readiness = new StatusServer(loops, Map.of("/-/readyz", this::ready));
    this.metrics =
        new StatusServer(
            loops,
            Map.of(
                "/metrics", () -> new StatusServer.Page(true, meters.scrape()),
                "/status", () -> new StatusServer.Page(true, gateway.view().page())));
    Gauge.builder("fescuehook.batch.domains.evacuated", gateway, SchedulerProgram::evacuated)
        .register(meters);
    this.store =
        new PlatformStore(
            loop,
            preferences.addresses().store(),
            ring::publish,
            routes -> {
              callers.route(routes);
              configured = true;
            },
            configurationAge);
    FunctionCounter.builder(
            "fescuehook.store.appends.repeated", store, PlatformStore::repeatedAppends)
        .register(meters);
    ExecutorClient executors =
        new ExecutorClient(
            loop,
            (id, number, outcome) -> ring.publish(new BatchEvent.OrderEnded(id, number, outcome)));
    MachineClient machines =
        new MachineClient(
            loop,
            preferences.addresses().machines(),
            preferences.identity().vm() + "/" + incarnation,
            preferences.batch().maintenance().readsPerSecond(),
            ring::publish);
    BatchCore core = new BatchCore(identity(), preferences.batch());
    this.decisions =
        new BatchDuty(
            core,
            store,
            executors,
            executorProbe(loop),
            adviceClient(loop),
            machines,
            meters,
            gateway::update);
  }

  private OwnerIdentity identity() {
    return new OwnerIdentity(
        preferences.identity().vm(),
        incarnation,
        Addresses.format(preferences.addresses().peers()),
        preferences.processor().milliCores());
  }

  private ExecutorProbe executorProbe(EventLoop loop) {
    return new ExecutorProbe(
        loop, (number, reached) -> ring.publish(new BatchEvent.ExecutorsProbed(number, reached)));
  }

  private AdviceClient adviceClient(EventLoop loop) {
    return new AdviceClient(
        loop,
        preferences.addresses().advice(),
        (number, outcome) -> ring.publish(new BatchEvent.AdviceEnded(number, outcome)));
  }

  private CallGateway gateway(EventLoop loop) {
    return new CallGateway(
        loop,
        ring,
        ring::publish,
        (owner, hints) ->
            new CallLink(loop, owner, new NettyPeerConnector(loop, owner), hints, retryDelays),
        retryDelays,
        meters);
  }

  /**
   * Opens the ports and starts the threads.
   *
   * @throws IOException if a port cannot be opened
   */
  public void start() throws IOException {
    SchedulerPreferences.Addresses addresses = preferences.addresses();
    peers.start(addresses.peers());
    readiness.start(addresses.readiness());
    metrics.start(addresses.metrics());
    callers.start(addresses.callers());
    ring.start(decisions);
    store.start();
    EventLog.info(
        LOGGER,
        SchedulerEvent.STARTED,
        preferences.identity().vm(),
        incarnation,
        addresses.callers(),
        addresses.peers(),
        addresses.store(),
        ManagementFactory.getRuntimeMXBean().getUptime());
    for (String fault : preferences.unusable()) {
      EventLog.warn(LOGGER, SchedulerEvent.MAINTENANCE_SETTING_UNUSABLE, fault);
    }
  }

  private static double evacuated(CallGateway gateway) {
    return gateway.view().evacuated().map(Set::size).orElse(0);
  }

  private StatusServer.Page ready() {
    if (stopStarted.get()) {
      return new StatusServer.Page(false, "stopping");
    }
    if (!configured) {
      return new StatusServer.Page(false, "no configuration");
    }
    OwnerView view = gateway.view();
    boolean ownerKnown = view.deciding() || view.owner().isPresent();
    return new StatusServer.Page(ownerKnown, ownerKnown ? "ready" : "no owner");
  }

  /** Stops gracefully and blocks until the stop has ended. A second call waits for the first. */
  public void stop() throws InterruptedException {
    if (!stopStarted.compareAndSet(false, true)) {
      stopped.await();
      return;
    }
    long start = System.nanoTime();
    EventLog.info(LOGGER, SchedulerEvent.STOP_BEGAN);
    callers.beginClose();
    ring.publish(new BatchEvent.StopBegun());
    awaitUntil(start, BALANCER_DRAIN_TIME, () -> false);
    callers.stopListening();
    awaitUntil(start, STOP_TIMEOUT, () -> callers.inFlight() == 0 && gateway.view().handedOver());
    long millis = Duration.ofNanos(System.nanoTime() - start).toMillis();
    EventLog.info(LOGGER, SchedulerEvent.STOPPED, millis, callers.inFlight());
    gateway.giveUpAll();
    awaitUntil(System.nanoTime(), ANSWER_TIMEOUT, () -> callers.inFlight() == 0);
    close();
    stopped.countDown();
  }

  private void awaitUntil(long start, Duration limit, Condition condition)
      throws InterruptedException {
    while (System.nanoTime() - start < limit.toNanos() && !condition.holds()) {
      stopped.await(STOP_POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void close() {
    ring.stop(SHUTDOWN_TIMEOUT);
    store.stop();
    peers.close();
    readiness.close();
    metrics.close();
    loops.shutdownGracefully(0, SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Waits until the graceful stop has ended. */
  public void awaitStop() throws InterruptedException {
    stopped.await();
  }

  @FunctionalInterface
  private interface Condition {
    boolean holds();
  }
}
