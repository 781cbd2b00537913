package org.fescuehook.entry;

import java.net.InetSocketAddress;

/**
 * The addresses on which an entry VM listens.
 *
 * @param service address for callers
 * @param peer address for other entry VMs
 * @param operator address for operators
 */
public record EntryAddresses(
    InetSocketAddress service, InetSocketAddress peer, InetSocketAddress operator) {}
