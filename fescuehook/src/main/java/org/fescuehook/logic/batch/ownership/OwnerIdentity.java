package org.fescuehook.logic.batch.ownership;

import org.fescuehook.model.fleet.VmId;

/**
 * The identity of this VM in the ownership stream.
 *
 * @param vm name of the VM
 * @param incarnation distinguishes starts of the same VM
 * @param address where it accepts calls of its peers, IP number and port
 * @param milliCores its processing power, in thousandths of a core of usual speed
 */
public record OwnerIdentity(VmId vm, String incarnation, String address, int milliCores) {}
