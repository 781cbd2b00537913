package org.fescuehook.logic.story;

/**
 * An event in a log.
 *
 * @param millis when it was logged, milliseconds since 1970 by the VM's clock
 * @param vm name of the VM, or what stood before the event on its line; empty if nothing did
 * @param number number of the event
 * @param message what it says
 */
public record LoggedEvent(long millis, String vm, int number, String message) {}
