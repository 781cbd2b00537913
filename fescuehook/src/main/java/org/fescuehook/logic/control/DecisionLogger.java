package org.fescuehook.logic.control;

import org.fescuehook.logic.control.record.WireEnumNames;
import org.fescuehook.wire.AttemptEnded;
import org.fescuehook.wire.AttemptPlanned;
import org.fescuehook.wire.ControlRecord;

/** Logs and counts the owner's decisions that took effect. */
final class DecisionLogger {

  private DecisionLogger() {}

  static void log(ControlRecord record, DecisionContext context) {
    switch (record.getBodyCase()) {
      case ATTEMPT_PLANNED -> planned(record.getAttemptPlanned(), context);
      case ATTEMPT_ENDED -> ended(record.getAttemptEnded(), context);
      case JOB_ENDED ->
          context.note(
              ControlLogEvent.JOB_ENDED,
              record.getJobEnded().getJob(),
              WireEnumNames.of(record.getJobEnded().getResult()));
      default -> {}
    }
  }

  private static void planned(AttemptPlanned planned, DecisionContext context) {
    context.note(
        ControlLogEvent.ATTEMPT_PLANNED,
        planned.getJob() + "." + planned.getAttempt(),
        planned.getWorkersList(),
        planned.getRule());
  }

  private static void ended(AttemptEnded ended, DecisionContext context) {
    context.note(
        ControlLogEvent.ATTEMPT_ENDED,
        ended.getJob() + "." + ended.getAttempt(),
        WireEnumNames.of(ended.getResult()),
        WireEnumNames.of(ended.getReason()),
        ended.getWorker());
    context.count(
        "fescuehook.control.attempts.ended",
        "result",
        WireEnumNames.of(ended.getResult()),
        "reason",
        WireEnumNames.of(ended.getReason()));
  }
}
