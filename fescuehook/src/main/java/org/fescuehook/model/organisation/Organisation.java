package org.fescuehook.model.organisation;

/**
 * A tenant of the system.
 *
 * @param id name
 * @param weight share relative to other organisations when they compete, above 0
 * @param quotaAccelerators most accelerators in use at once, guaranteed and borrowed
 * @param requestShare most short requests in flight at one entry VM
 */
public record Organisation(
    OrganisationId id, double weight, int quotaAccelerators, int requestShare) {}
