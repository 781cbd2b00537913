package org.fescuehook.model.preferences;

import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;

/**
 * Name and failure domain of a VM.
 *
 * @param vm name of the VM
 * @param domain failure domain of the VM
 */
public record IdentityPreferences(VmId vm, FailureDomain domain) {}
