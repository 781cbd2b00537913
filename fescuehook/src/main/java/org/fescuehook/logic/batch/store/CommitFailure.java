package org.fescuehook.logic.batch.store;

/** Why a change was not confirmed as stored. */
public enum CommitFailure {
  /** It was never sent, or the store reported that it did nothing. */
  NOT_STORED,
  /** It was sent, and ownership was lost before an answer arrived. */
  UNKNOWN
}
