package org.fescuehook.logic.control;

import java.util.Optional;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.fleet.VmId;

/**
 * Summary of the state of a decision core.
 *
 * @param owner VM that owns the decisions, empty if there is none
 * @param epoch offset of the claim in force; -1 if there is none
 * @param revision revision of the configuration in force; -1 before the first publication
 * @param configuration configuration in force; empty before the first publication
 * @param nextOffset offset after the last applied record
 * @param current whether the end of the stream was reached recently, so that the state is up to
 *     date
 * @param waitingJobs jobs without a live attempt
 * @param liveAttempts attempts that are planned and have not ended
 * @param unreadAppends records appended by this VM whose outcome is not yet known
 * @param skippedRecords records that were not applied because they are corrupt, foreign, or of an
 *     unknown newer kind
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
