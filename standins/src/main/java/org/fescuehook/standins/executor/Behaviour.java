package org.fescuehook.standins.executor;

import com.fasterxml.jackson.annotation.JsonEnumDefaultValue;

/** How an executor treats requests. */
public enum Behaviour {
  /** Runs and answers. */
  @JsonEnumDefaultValue
  NORMAL,
  /** Runs longer by the delay, holding the slot. */
  SLOW,
  /** Runs, frees the slot, and answers only after the delay. */
  LATE,
  /** Runs and never answers. */
  SILENT,
  /** Runs, answers by half and closes the connection. */
  CUT,
  /** Runs and answers with the token of the request before. */
  CROSSED,
  /** Runs nothing and says so. */
  REFUSING,
  /** Runs nothing new and says so; what runs is finished. */
  LEAVING
}
