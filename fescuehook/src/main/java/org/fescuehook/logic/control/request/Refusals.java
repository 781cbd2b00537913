package org.fescuehook.logic.control.request;

import org.fescuehook.logic.control.ControlLimits;
import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.model.request.RefusalReason;

/** Refuses requests, and counts the refusals by reason. */
final class Refusals {

  private Refusals() {}

  static void refuse(long ticket, RefusalReason reason, String detail, DecisionContext context) {
    int retryAfter = reason.retryable() ? ControlLimits.RETRY_AFTER_SECONDS : 0;
    context.count("fescuehook.control.refused", "reason", reason.slug());
    context.reply(ticket, new Answer.Refused(reason, detail, retryAfter));
  }
}
