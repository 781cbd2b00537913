package org.fescuehook.logic.batch.store;

/** The outcome of an append. */
public sealed interface AppendOutcome {

  /**
   * Tells whether the store has processed the append, so that its duration shows how fast the store
   * is.
   */
  default boolean processedByStore() {
    return switch (this) {
      case Stored _, Fenced _, Conflict _, OutOfSequence _ -> true;
      case Refused _, Unanswered _ -> false;
    };
  }

  /** The records are stored. */
  record Stored(long offset) implements AppendOutcome {}

  /** A writer with a higher epoch has taken over the stream; nothing was stored. */
  record Fenced() implements AppendOutcome {}

  /** The stream does not end where the append expected; nothing was stored. */
  record Conflict(long end) implements AppendOutcome {}

  /** The store expects another sequence number; nothing was stored. */
  record OutOfSequence(long expected) implements AppendOutcome {}

  /** The store did not process the append. */
  record Refused(String reason) implements AppendOutcome {}

  /** No answer arrived: the records may be stored now, later or never. */
  record Unanswered(String reason) implements AppendOutcome {}
}
