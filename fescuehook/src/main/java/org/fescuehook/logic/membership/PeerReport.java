package org.fescuehook.logic.membership;

import org.fescuehook.model.fleet.VmId;

/**
 * What an entry VM says of itself in a heartbeat.
 *
 * @param vm its name
 * @param incarnation distinguishes starts of the same VM
 * @param controlNext offset after the last control record that it has folded
 * @param revision configuration revision that it has in force; -1 for none
 * @param logReachable whether its last read of the log succeeded within its limit
 * @param draining whether it is stopping
 */
public record PeerReport(
    VmId vm,
    String incarnation,
    long controlNext,
    long revision,
    boolean logReachable,
    boolean draining) {}
