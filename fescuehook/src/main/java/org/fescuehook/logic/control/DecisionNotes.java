package org.fescuehook.logic.control;

import org.fescuehook.logic.control.record.WireWords;
import org.fescuehook.wire.AttemptEnded;
import org.fescuehook.wire.AttemptPlanned;
import org.fescuehook.wire.ControlRecord;

/** Writes log lines and counts for decisions that counted. */
final class DecisionNotes {

  private DecisionNotes() {}

  static void write(ControlRecord record, Turn turn) {
    switch (record.getBodyCase()) {
      case ATTEMPT_PLANNED -> planned(record.getAttemptPlanned(), turn);
      case ATTEMPT_ENDED -> ended(record.getAttemptEnded(), turn);
      case JOB_ENDED ->
          turn.note(
              ControlLogEvent.JOB_ENDED,
              record.getJobEnded().getJob(),
              WireWords.of(record.getJobEnded().getResult()));
      default -> {}
    }
  }

  private static void planned(AttemptPlanned planned, Turn turn) {
    turn.note(
        ControlLogEvent.ATTEMPT_PLANNED,
        planned.getJob() + "." + planned.getAttempt(),
        planned.getWorkersList(),
        planned.getRule());
  }

  private static void ended(AttemptEnded ended, Turn turn) {
    turn.note(
        ControlLogEvent.ATTEMPT_ENDED,
        ended.getJob() + "." + ended.getAttempt(),
        WireWords.of(ended.getResult()),
        WireWords.of(ended.getReason()),
        ended.getWorker());
    turn.count(
        "fescuehook.control.attempts.ended",
        "result",
        WireWords.of(ended.getResult()),
        "reason",
        WireWords.of(ended.getReason()));
  }
}
