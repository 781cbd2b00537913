package org.fescuehook.logic.batch.store;

import java.util.Optional;

/**
 * A record of a keyed stream, which keeps the newest record of each key.
 *
 * @param key the key
 * @param value the value; absent deletes the key
 */
public record KeyedRecord(String key, Optional<byte[]> value) {}
