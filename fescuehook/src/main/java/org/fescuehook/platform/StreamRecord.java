package org.fescuehook.platform;

import java.util.Optional;

/**
 * A record read from a keyed topic.
 *
 * @param value absent if the key was deleted
 */
record StreamRecord(long offset, String key, Optional<byte[]> value) {}
