package org.fescuehook.model.organisation;

/**
 * A tenant of the system.
 *
 * @param id name
 * @param weight share relative to other organisations when they compete, above 0
 * @param quotaAccelerators maximum number of accelerators in use at the same time, guaranteed and
 *     borrowed
 * @param requestShare maximum number of short requests in flight at one entry VM
 */
public record Organisation(
    OrganisationId id, double weight, int quotaAccelerators, int requestShare) {}
