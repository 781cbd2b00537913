package org.fescuehook.logic.batch.admission;

import org.fescuehook.model.batch.JobQueue;
import org.fescuehook.model.batch.Submission;

/**
 * A job that is submitted and not known yet.
 *
 * @param organisation the organisation of its caller; an empty string if the call carried no key
 */
public record NewJob(String id, JobQueue queue, String organisation, Submission submission) {}
