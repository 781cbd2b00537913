package org.fescuehook.model.fleet;

import java.net.InetSocketAddress;

/**
 * A backend server that runs tasks of gang jobs under leases.
 *
 * @param id name of the worker
 * @param address address of its HTTP port
 * @param domain its failure domain
 * @param rack its rack; accelerators of one rack are adjacent
 * @param capacity all resources that it has, in use or not
 */
public record Worker(
    WorkerId id, InetSocketAddress address, FailureDomain domain, RackId rack, Capacity capacity) {}
