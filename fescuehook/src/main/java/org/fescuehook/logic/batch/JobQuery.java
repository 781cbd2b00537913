package org.fescuehook.logic.batch;

import org.fescuehook.logic.batch.state.JobScope;

/**
 * A status request or a cancel of a job, which may not be answered at once.
 *
 * @param job id of the job
 * @param scope queue and organisation of its caller
 * @param until when its caller stops waiting for the answer, monotonic time in nanoseconds
 */
record JobQuery(long ticket, String job, JobScope scope, long until) {}
