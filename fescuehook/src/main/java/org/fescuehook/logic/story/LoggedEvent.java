package org.fescuehook.logic.story;

/**
 * A numbered event read from a log.
 *
 * @param millis when it was logged, milliseconds since 1970 by the VM's clock
 * @param vm name of the VM, taken from the prefix of the line; empty if there is no prefix
 * @param number number of the event
 * @param message formatted message
 */
public record LoggedEvent(long millis, String vm, int number, String message) {}
