package org.fescuehook.model.preferences;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Where this entry VM listens and where the platform is. Port 0 lets the system choose one.
 *
 * @param service where callers connect
 * @param peer where other entry VMs connect
 * @param operator where operators connect; loopback unless a token is set
 * @param operatorToken bearer token that operators present
 * @param log the platform's log service
 * @param list the platform's list of VMs
 */
public record AddressPreferences(
    InetSocketAddress service,
    InetSocketAddress peer,
    InetSocketAddress operator,
    Optional<String> operatorToken,
    InetSocketAddress log,
    InetSocketAddress list) {}
