package org.fescuehook.model.preferences;

import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;

/**
 * Who this entry VM is.
 *
 * @param vm its name
 * @param domain its failure domain
 */
public record IdentityPreferences(VmId vm, FailureDomain domain) {}
