package org.fescuehook.net.executor;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/**
 * Counters of the executors' connections.
 *
 * @param lateAnswer bytes that came on a connection without a request in progress
 * @param opened connections opened
 * @param connectFailed connections that could not be opened
 * @param agedOut idle connections closed for their age or silence
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
