package org.fescuehook.logic.membership;

import org.fescuehook.model.fleet.VmId;

/**
 * Status that an entry VM reports about itself in a heartbeat.
 *
 * @param vm its name
 * @param incarnation identifies the process of the VM; a restart changes it
 * @param controlNext offset after the last control record that it has applied
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
