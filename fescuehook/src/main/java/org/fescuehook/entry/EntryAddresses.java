package org.fescuehook.entry;

import java.net.InetSocketAddress;

/**
 * Where an entry VM listens.
 *
 * @param service towards callers
 * @param peer towards other entry VMs
 * @param operator towards operators
 */
public record EntryAddresses(
    InetSocketAddress service, InetSocketAddress peer, InetSocketAddress operator) {}
