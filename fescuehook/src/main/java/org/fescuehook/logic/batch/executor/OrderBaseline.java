package org.fescuehook.logic.batch.executor;

/**
 * Where the orders to one incarnation of an executor begin.
 *
 * @param lastNumber number of the last order of the epoch that was not meant for this incarnation
 * @param fenceToken token that the orders to it carry
 */
public record OrderBaseline(long lastNumber, long fenceToken) {}
