package org.fescuehook.cli.command;

/** Form of a command's result. */
public enum Format {
  /** Lines for a terminal. */
  TEXT,
  /** One JSON document for a pipeline. */
  JSON
}
