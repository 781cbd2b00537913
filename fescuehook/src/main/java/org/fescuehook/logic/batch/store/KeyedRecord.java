package org.fescuehook.logic.batch.store;

import java.util.Optional;

/**
 * A record of a keyed stream; the newest of each key is kept.
 *
 * @param key the key
 * @param value the value; absent deletes the key
 */
public record KeyedRecord(String key, Optional<byte[]> value) {}
