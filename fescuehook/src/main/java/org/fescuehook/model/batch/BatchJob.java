package org.fescuehook.model.batch;

/**
 * A job as it was accepted.
 *
 * @param id name chosen by the caller
 * @param queue its queue as it was declared then
 * @param organisation name of the organisation whose key it came with; empty on an open queue
 * @param acceptedMillis when it was accepted, milliseconds since 1970
 * @param submission what runs
 */
public record BatchJob(
    String id, JobQueue queue, String organisation, long acceptedMillis, Submission submission) {}
