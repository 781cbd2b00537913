package org.fescuehook.standins.platform;

import java.util.List;

/**
 * Faults of the executors.
 *
 * @param crash numbers of the executors that crash now; each comes back as another incarnation
 */
public record FleetFaults(List<Integer> crash) {}
