package org.fescuehook.logic.batch.ownership;

import org.fescuehook.model.fleet.VmId;

/**
 * An owner as VMs tell each other. A VM that is cut off from the store learns of a take-over only
 * so.
 *
 * @param vm name of the owner
 * @param epoch its epoch; a higher one is newer
 * @param address where it takes calls of its peers, IP number and port
 */
public record OwnerHint(VmId vm, long epoch, String address) {}
