package org.fescuehook.logic.batch.executor;

/**
 * A poll that has not been answered yet.
 *
 * @param number number of the order
 * @param sentAt monotonic time
 */
public record PollInFlight(long number, long sentAt) {}
