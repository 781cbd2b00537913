package org.fescuehook.model.preferences;

/**
 * All settings of an entry VM.
 *
 * @param identity name and failure domain of the VM
 * @param addresses addresses on which it listens, and addresses of the platform's services
 * @param control settings of ownership, leases and the control stream
 * @param requests settings for the handling of short requests
 * @param membership settings of membership and of graceful stopping
 */
public record EntryPreferences(
    IdentityPreferences identity,
    AddressPreferences addresses,
    ControlPreferences control,
    RequestPreferences requests,
    MembershipPreferences membership) {}
