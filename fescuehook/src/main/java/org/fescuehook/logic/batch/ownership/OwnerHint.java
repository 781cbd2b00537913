package org.fescuehook.logic.batch.ownership;

import org.fescuehook.model.fleet.VmId;

/**
 * An owner as reported by a peer. A VM that is cut off from the store learns of a take-over only
 * this way.
 *
 * @param vm name of the owner
 * @param epoch its epoch; a higher one is newer
 * @param address where it accepts calls of its peers, IP number and port
 */
public record OwnerHint(VmId vm, long epoch, String address) {}
