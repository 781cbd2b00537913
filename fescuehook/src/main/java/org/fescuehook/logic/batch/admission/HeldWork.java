package org.fescuehook.logic.batch.admission;

/**
 * Work that was refused earlier than a job and goes before it.
 *
 * @param due work whose callers are expected to return about now
 * @param all this and the work whose callers return later
 */
record HeldWork(double due, double all) {

  static final HeldWork NONE = new HeldWork(0, 0);
}
