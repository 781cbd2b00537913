package org.fescuehook.model.preferences;

/**
 * All settings of an entry VM.
 *
 * @param identity who it is
 * @param addresses where it listens and where the platform is
 * @param control ownership, leases and records
 * @param requests the request path
 * @param membership membership and stopping
 */
public record EntryPreferences(
    IdentityPreferences identity,
    AddressPreferences addresses,
    ControlPreferences control,
    RequestPreferences requests,
    MembershipPreferences membership) {}
