package org.fescuehook.model.preferences;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Addresses on which this entry VM listens, and addresses of the platform's services. With port 0
 * the operating system chooses a free port.
 *
 * @param service address to which callers connect
 * @param peer address to which other entry VMs connect
 * @param operator address to which operators connect; a loopback address unless a token is set
 * @param operatorToken bearer token that operators present
 * @param log address of the platform's log service
 * @param list address of the platform's list of VMs
 */
public record AddressPreferences(
    InetSocketAddress service,
    InetSocketAddress peer,
    InetSocketAddress operator,
    Optional<String> operatorToken,
    InetSocketAddress log,
    InetSocketAddress list) {}
