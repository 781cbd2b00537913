package org.fescuehook.logic.batch.executor;

import java.time.Duration;

/**
 * Times that the owner has to keep with executors.
 *
 * @param lease length of the leases that orders grant
 * @param longestLease the longest lease that an executor grants
 * @param inheritedLease how long leases of a former owner may last from the start of the epoch on
 * @param gangTimeout time that a member of a gang waits on its executor for the others
 */
public record ExecutorTimes(
    Duration lease, Duration longestLease, Duration inheritedLease, Duration gangTimeout) {}
