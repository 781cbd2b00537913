package org.fescuehook.logic.batch.store;

/**
 * The position of an append in the sequence of its writer. The store rejects an epoch below the
 * highest that it has seen, and answers a repeated sequence number with the first answer.
 *
 * @param epoch epoch of the writer
 * @param sequence number of the append within the epoch, from 0
 */
public record WriterPosition(long epoch, long sequence) {}
