package org.fescuehook.standins.platform;

/** What the store answers to an append. */
sealed interface AppendAnswer {

  /** All records are stored, from one offset to before another. */
  record Stored(long offset, long endOffset) implements AppendAnswer {}

  /** The partition ends elsewhere than the writer expected. */
  record OtherEnd(long endOffset) implements AppendAnswer {}

  /** A writer of a higher epoch has appended. */
  record Fenced(String reason) implements AppendAnswer {
    Fenced() {
      this("fenced");
    }
  }

  /** The append does not follow the last one of its epoch. */
  record OutOfSequence(String reason, long sequence) implements AppendAnswer {
    OutOfSequence(long expected) {
      this("seq", expected);
    }
  }

  /** Returns its status of HTTP. */
  default int status() {
    return switch (this) {
      case Stored stored -> 200;
      case OtherEnd other -> 412;
      case Fenced fenced -> 409;
      case OutOfSequence out -> 409;
    };
  }
}
