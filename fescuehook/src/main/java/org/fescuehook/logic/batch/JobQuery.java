package org.fescuehook.logic.batch;

/**
 * A question about a job, or its cancel, whose answer may have to wait.
 *
 * @param until how long an answer is of use, monotonic time in nanoseconds
 */
record JobQuery(long ticket, String job, long until) {}
