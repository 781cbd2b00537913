package org.fescuehook.model.batch;

/**
 * A job as it was accepted.
 *
 * @param id id chosen by the caller
 * @param queue its queue as declared when the job was accepted
 * @param organisation name of the organisation whose API key the submission carried; an empty
 *     string if it carried none, which an open queue permits
 * @param acceptedMillis when it was accepted, milliseconds since 1970
 * @param submission the submission
 */
public record BatchJob(
    String id, JobQueue queue, String organisation, long acceptedMillis, Submission submission) {}
