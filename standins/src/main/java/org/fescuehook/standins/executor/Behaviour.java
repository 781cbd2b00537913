package org.fescuehook.standins.executor;

import com.fasterxml.jackson.annotation.JsonEnumDefaultValue;

/** How an executor responds to requests. */
public enum Behaviour {
  /** Runs the request and responds. */
  @JsonEnumDefaultValue
  NORMAL,
  /** Runs the request for longer by the delay, during which the slot stays occupied. */
  SLOW,
  /** Runs the request, frees the slot, and responds only after the delay. */
  LATE,
  /** Runs the request and never responds. */
  SILENT,
  /** Runs the request, sends half of the response and closes the connection. */
  CUT,
  /** Runs the request and responds with the token of the previous request. */
  CROSSED,
  /** Rejects requests as not run. */
  REFUSING,
  /** Rejects new requests as not run; the running ones are finished. */
  LEAVING
}
