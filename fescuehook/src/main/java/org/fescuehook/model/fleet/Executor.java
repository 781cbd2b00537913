package org.fescuehook.model.fleet;

import java.net.InetSocketAddress;

/**
 * A backend server that runs short requests.
 *
 * @param id name of the executor
 * @param address address of its HTTP port
 * @param domain its failure domain
 * @param slots number of requests that it runs concurrently, in total over all entry VMs
 * @param connections number of concurrent connections that it accepts, in total over all entry VMs
 */
public record Executor(
    ExecutorId id, InetSocketAddress address, FailureDomain domain, int slots, int connections) {}
