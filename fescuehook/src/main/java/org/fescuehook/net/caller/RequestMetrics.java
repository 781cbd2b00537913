package org.fescuehook.net.caller;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescuehook.logic.dispatch.RetryReason;
import org.fescuehook.model.request.RefusalReason;

/** Records the metrics of the request path. */
final class RequestMetrics {
  private final MeterRegistry registry;
  private final Map<RefusalReason, Counter> refused = new EnumMap<>(RefusalReason.class);
  private final Map<RetryReason, Counter> retried = new EnumMap<>(RetryReason.class);
  private final Timer total;
  private final Timer added;
  private final Counter answered;
  private final Counter cut;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger connections = new AtomicInteger();

  RequestMetrics(MeterRegistry registry) {
    this.registry = registry;
    for (RefusalReason reason : RefusalReason.values()) {
      refused.put(reason, registry.counter("fescuehook.requests.refused", "reason", reason.slug()));
    }
    for (RetryReason reason : RetryReason.values()) {
      retried.put(reason, registry.counter("fescuehook.requests.retried", "reason", reason.slug()));
    }
    total = timer("fescuehook.requests.total");
    added = timer("fescuehook.requests.added");
    answered = registry.counter("fescuehook.requests.answered");
    cut = registry.counter("fescuehook.requests.cut");
    Gauge.builder("fescuehook.requests.inflight", inFlight, AtomicInteger::get).register(registry);
    Gauge.builder("fescuehook.callers.connections", connections, AtomicInteger::get)
        .register(registry);
  }

  private Timer timer(String name) {
    return Timer.builder(name).publishPercentileHistogram().register(registry);
  }

  void refused(RefusalReason reason) {
    refused.get(reason).increment();
  }

  void retried(RetryReason reason) {
    retried.get(reason).increment();
  }

  /**
   * Records an answer that was forwarded completely.
   *
   * @param totalNanos time from the receipt of the whole request to the end of the answer
   * @param executorNanos the part of it that the executors took
   */
  void answered(long totalNanos, long executorNanos) {
    answered.increment();
    total.record(totalNanos, TimeUnit.NANOSECONDS);
    added.record(Math.max(0, totalNanos - executorNanos), TimeUnit.NANOSECONDS);
  }

  /** Counts a caller's connection that was closed because the executor broke off its answer. */
  void cut() {
    cut.increment();
  }

  void count(String name, String... tags) {
    registry.counter(name, tags).increment();
  }

  AtomicInteger inFlight() {
    return inFlight;
  }

  AtomicInteger connections() {
    return connections;
  }
}
