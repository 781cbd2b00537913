package org.fescuehook.net.executor;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Holds the counters of the connections to executors.
 *
 * @param lateAnswer messages received on a connection without a request in progress
 * @param opened connections opened
 * @param connectFailed connections that could not be opened
 * @param agedOut idle connections closed since they were open for too long
 * @param probeFailed idle connections that did not answer a probe
 */
record ExchangeCounters(
    Counter lateAnswer,
    Counter opened,
    Counter connectFailed,
    Counter agedOut,
    Counter probeFailed) {

  static ExchangeCounters in(MeterRegistry metrics) {
    return new ExchangeCounters(
        metrics.counter("fescuehook.executors.late.answers"),
        metrics.counter("fescuehook.executors.connections.opened"),
        metrics.counter("fescuehook.executors.connections.failed"),
        metrics.counter("fescuehook.executors.connections.aged"),
        metrics.counter("fescuehook.executors.probes.failed"));
  }
}
