package org.fescuehook.logic.control;

import java.util.Optional;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.fleet.VmId;

/**
 * State of the decision core at a glance.
 *
 * @param owner VM that decides, empty when none does
 * @param epoch offset of the claim in force; -1 when there is none
 * @param revision revision of the configuration in force; -1 before the first
 * @param configuration configuration in force, empty before the first
 * @param nextOffset offset after the last folded record
 * @param current whether the reader has reached the end of the stream within its limit
 * @param waitingJobs jobs without a live attempt
 * @param liveAttempts attempts planned and not ended
 * @param unreadAppends own records whose outcome is not yet known
 * @param skippedRecords records that were not understood or repeated
 */
public record ControlSummary(
    Optional<VmId> owner,
    long epoch,
    long revision,
    Optional<Configuration> configuration,
    long nextOffset,
    boolean current,
    int waitingJobs,
    int liveAttempts,
    int unreadAppends,
    long skippedRecords) {}
