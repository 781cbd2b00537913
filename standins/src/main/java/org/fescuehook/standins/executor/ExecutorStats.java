package org.fescuehook.standins.executor;

/**
 * Counts of an executor.
 *
 * @param runs requests run
 * @param refusals requests refused as not run
 * @param running requests running now
 * @param maxRunning most requests that ran at a time
 * @param openConnections connections open now
 * @param rejectedConnections connections closed at accept
 * @param behaviourSince when its behaviour was last set, by the monotonic clock, in milliseconds
 * @param lastRequestAt when the last request arrived, by the monotonic clock, in milliseconds
 */
public record ExecutorStats(
    long runs,
    long refusals,
    int running,
    int maxRunning,
    int openConnections,
    long rejectedConnections,
    long behaviourSince,
    long lastRequestAt) {}
