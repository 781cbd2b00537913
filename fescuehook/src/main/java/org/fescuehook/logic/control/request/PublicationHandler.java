package org.fescuehook.logic.control.request;

import org.fescuehook.logic.control.ControlPort.Answer;
import org.fescuehook.logic.control.ControlPort.Request;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.DeclarationsReader;
import org.fescuehook.logic.control.DeclarationsReader.InvalidDeclarationsException;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.ConfigurationPublished;
import org.fescuehook.wire.ControlRecord;

/** Handles publications of configurations. */
public final class PublicationHandler {
  private final DeclarationsReader reader;
  private final RequestAppender appender;

  /** Creates a handler. */
  public PublicationHandler(DeclarationsReader reader, RequestAppender appender) {
    this.reader = reader;
    this.appender = appender;
  }

  /**
   * Handles a publication. Publishing the declarations that are in force again has no effect.
   * Implements the action {@code Publish} of the module Configuration.
   */
  public void publish(
      long ticket, Request.Publish publish, ControlState state, DecisionContext context) {
    try {
      reader.check(publish.declarations());
    } catch (InvalidDeclarationsException e) {
      String faults = String.valueOf(e.getMessage());
      Refusals.refuse(ticket, RefusalReason.BAD_REQUEST, faults, context);
      return;
    }
    ConfigurationPublished body =
        ConfigurationPublished.newBuilder()
            .setBaseRevisionPlusOne(publish.baseRevision() + 1)
            .setAuthor(publish.author())
            .setReason(publish.reason())
            .setDeclarations(publish.declarations())
            .build();
    boolean stale = publish.baseRevision() != state.revision();
    boolean same = RequestAppender.publicationAnswer(body, state) instanceof Answer.Published;
    if (stale || same) {
      context.reply(ticket, RequestAppender.publicationAnswer(body, state));
      return;
    }
    appender.accept(ticket, ControlRecord.newBuilder().setConfigurationPublished(body), context);
  }
}
