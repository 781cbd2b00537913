package org.fescuehook.model.log;

/**
 * A record read from the log.
 *
 * @param offset position in its stream
 * @param appendedMillis time of the append by the log service's clock, milliseconds since 1970
 * @param data content
 */
public record LogRecord(long offset, long appendedMillis, byte[] data) {}
