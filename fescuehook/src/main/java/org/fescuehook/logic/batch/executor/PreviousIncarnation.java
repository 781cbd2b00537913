package org.fescuehook.logic.batch.executor;

import org.fescuehook.model.fleet.Incarnation;

/**
 * What is known of the life that an executor had before it started again under its id.
 *
 * @param incarnation which life it was
 * @param endedAt when it was over at the latest, monotonic time
 * @param leaving whether it was about to leave
 * @param crashedLately whether it had begun not long ago with a crash of the one before
 */
record PreviousIncarnation(
    Incarnation incarnation, long endedAt, boolean leaving, boolean crashedLately) {}
