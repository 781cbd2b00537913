package org.fescuehook.logic.batch;

/**
 * A status request or a cancel of a job, which may not be answered at once.
 *
 * @param job id of the job
 * @param until when its caller stops waiting for the answer, monotonic time in nanoseconds
 */
record JobQuery(long ticket, String job, long until) {}
