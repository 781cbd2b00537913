package org.fescuehook.logic.batch.store;

/** What became of an append. */
public sealed interface AppendOutcome {

  /** Tells whether the store has worked on the append, so that its time is that of the store. */
  default boolean ofTheStore() {
    return switch (this) {
      case Stored _, Fenced _, Conflict _, OutOfSequence _ -> true;
      case Refused _, Unanswered _ -> false;
    };
  }

  /** It is stored. */
  record Stored(long offset) implements AppendOutcome {}

  /** A writer with a higher epoch has taken over; nothing was stored. */
  record Fenced() implements AppendOutcome {}

  /** The stream did not end where the append expected; nothing was stored. */
  record Conflict(long end) implements AppendOutcome {}

  /** The store expects another sequence; nothing was stored. */
  record OutOfSequence(long expected) implements AppendOutcome {}

  /** The store did nothing. */
  record Refused(String reason) implements AppendOutcome {}

  /** No answer came; it may be stored now, later or never. */
  record Unanswered(String reason) implements AppendOutcome {}
}
