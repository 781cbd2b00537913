package org.fescuehook.model.job;

import java.util.Optional;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * A gang job as submitted.
 *
 * @param id identifier, given by the entry VM that accepted it
 * @param organisation organisation that submitted it
 * @param requestId the caller's own id, unique per organisation, if given
 * @param shape resources that it needs at the same time
 * @param urgent whether it has to start within the policy's bound for urgent jobs
 * @param checkpointable whether a checkpoint keeps its progress
 * @param declaredSeconds run time estimated by the caller, in seconds; often far from the actual
 *     run time
 * @param submittedMillis time of submission, milliseconds since 1970 by the accepting VM's clock
 * @param command what the worker runs
 */
public record Job(
    JobId id,
    OrganisationId organisation,
    Optional<String> requestId,
    Shape shape,
    boolean urgent,
    boolean checkpointable,
    long declaredSeconds,
    long submittedMillis,
    String command) {}
