package org.fescuehook.logic.batch.executor;

import org.fescuehook.model.fleet.Incarnation;

/**
 * What is known of the incarnation that an executor had before it restarted under the same id.
 *
 * @param incarnation the previous incarnation
 * @param endedAt latest time at which it had ended, monotonic
 * @param leaving whether it was about to leave
 * @param recentlyCrashed whether it had itself started shortly before, after a crash of its
 *     predecessor
 */
record PreviousIncarnation(
    Incarnation incarnation, long endedAt, boolean leaving, boolean recentlyCrashed) {}
