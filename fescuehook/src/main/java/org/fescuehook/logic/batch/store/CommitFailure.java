package org.fescuehook.logic.batch.store;

/** Why a change did not become known as stored. */
public enum CommitFailure {
  /** It was never sent, or the store said that it did nothing. */
  NOT_STORED,
  /** It was sent and ownership was lost before an answer came. */
  UNKNOWN
}
