package org.fescuehook.standins.http;

/** How a service fails as a whole. */
public enum Outage {
  /** It works. */
  NONE,
  /** Each call is answered by 503. */
  REFUSING,
  /** No call is answered. */
  SILENT
}
