package org.fescuehook.logic.batch.store;

/**
 * Place of an append in the sequence of its writer. The store refuses an epoch below the highest
 * that it has seen, and answers a repeated sequence as it answered the first.
 *
 * @param epoch epoch of the writer
 * @param sequence number of the append within the epoch, from 0
 */
public record WriterPosition(long epoch, long sequence) {}
