package org.fescuehook.model.fleet;

import java.net.InetSocketAddress;

/**
 * A backend server that runs short requests.
 *
 * @param id name of the executor
 * @param address where its HTTP port listens
 * @param domain its failure domain
 * @param slots requests that it runs at once, summed over all entry VMs
 * @param connections connections that it accepts at once, summed over all entry VMs
 */
public record Executor(
    ExecutorId id, InetSocketAddress address, FailureDomain domain, int slots, int connections) {}
