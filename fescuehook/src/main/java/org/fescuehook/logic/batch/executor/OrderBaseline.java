package org.fescuehook.logic.batch.executor;

/**
 * Where the orders to one life of an executor begin.
 *
 * @param lastNumber number of the last order of the epoch that was not meant for this life
 * @param fence the number that its orders carry, which executors compare
 */
public record OrderBaseline(long lastNumber, long fence) {}
