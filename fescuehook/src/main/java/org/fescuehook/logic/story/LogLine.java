package org.fescuehook.logic.story;

import java.util.Optional;

/**
 * A line of a log.
 *
 * @param vm name of the VM, or what stood before the object on its line; empty if nothing did
 * @param millis when it was logged, milliseconds since 1970 by the VM's clock
 * @param number its number among the lines of its process, from 1; 0 if it has none
 * @param event the numbered event that it tells of; absent for lines of libraries
 */
public record LogLine(String vm, long millis, long number, Optional<LoggedEvent> event) {}
