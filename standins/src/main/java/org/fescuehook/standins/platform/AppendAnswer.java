package org.fescuehook.standins.platform;

/** Response of the store to an append request. */
sealed interface AppendAnswer {

  /** All records are stored, from {@code offset} up to and excluding {@code endOffset}. */
  record Stored(long offset, long endOffset) implements AppendAnswer {}

  /** The partition doesn't end at the offset that the writer expected. */
  record UnexpectedEnd(long endOffset) implements AppendAnswer {}

  /** The same writer has already appended with a higher epoch. */
  record Fenced(String reason) implements AppendAnswer {
    Fenced() {
      this("fenced");
    }
  }

  /** The sequence number doesn't follow the last append of the writer's epoch. */
  record OutOfSequence(String reason, long sequence) implements AppendAnswer {
    OutOfSequence(long expected) {
      this("seq", expected);
    }
  }

  /** Returns the HTTP status code. */
  default int status() {
    return switch (this) {
      case Stored stored -> 200;
      case UnexpectedEnd unexpected -> 412;
      case Fenced fenced -> 409;
      case OutOfSequence outOfSequence -> 409;
    };
  }
}
