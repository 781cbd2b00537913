package org.fescuehook.standins.executor;

/**
 * What an executor takes at a time.
 *
 * @param slots requests run at a time; further ones are refused as not run
 * @param connections connections open at a time; further ones are closed at accept
 */
public record ExecutorLimits(int slots, int connections) {}
