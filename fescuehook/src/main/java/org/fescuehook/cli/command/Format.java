package org.fescuehook.cli.command;

/** Output format of a command's result. */
public enum Format {
  /** Human-readable lines for a terminal. */
  TEXT,
  /** One JSON document for other programs. */
  JSON
}
