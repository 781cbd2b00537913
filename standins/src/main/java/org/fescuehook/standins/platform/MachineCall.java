package org.fescuehook.standins.platform;

/**
 * An entry of the journal of the machine API.
 *
 * @param machine number of the machine
 * @param wave number of the wave
 * @param holder who called
 * @param token fencing token of the call
 * @param outcome {@code begun}, {@code again}, or the reason of the refusal
 * @param runs how many runs the call ended
 * @param away how many machines of the wave were not up afterwards, this one included
 * @param cap most of them that might be away
 * @param at when it was carried out, monotonic milliseconds
 */
public record MachineCall(
    int machine,
    int wave,
    String holder,
    long token,
    String outcome,
    int runs,
    int away,
    int cap,
    long at) {}
