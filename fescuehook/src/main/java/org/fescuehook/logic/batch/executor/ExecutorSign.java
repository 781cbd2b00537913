package org.fescuehook.logic.batch.executor;

import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.Incarnation;

/** A sign of whether an incarnation of an executor has crashed or runs on. */
public sealed interface ExecutorSign {

  /** Returns the incarnation that the sign is about. */
  Incarnation incarnation();

  /** Returns the id of the executor. */
  default ExecutorId id() {
    return incarnation().id();
  }

  /** The incarnation answered its first poll, or the first one after it was silent. */
  record Answered(Incarnation incarnation) implements ExecutorSign {}

  /** Another incarnation answered in its place, so that it has ended. */
  record Replaced(Incarnation incarnation) implements ExecutorSign {}

  /** The incarnation has written its entry in the list of executors, perhaps some time ago. */
  record Listed(Incarnation incarnation) implements ExecutorSign {}
}
