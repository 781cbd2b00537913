package org.fescuehook.standins.worker;

/**
 * What a worker has.
 *
 * @param total all resources, free or not
 * @param usageLagMs how old a reported usage can be, in milliseconds
 */
public record WorkerCapacity(Resources total, long usageLagMs) {}
