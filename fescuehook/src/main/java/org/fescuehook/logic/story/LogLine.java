package org.fescuehook.logic.story;

import java.util.Optional;

/**
 * A line of a log.
 *
 * @param vm name of the VM, taken from the prefix of the line; empty if there is no prefix
 * @param millis when it was logged, milliseconds since 1970 by the VM's clock
 * @param number its sequence number among the lines of its process, from 1; 0 if it has none
 * @param event the numbered event that it reports; absent for lines of libraries
 */
public record LogLine(String vm, long millis, long number, Optional<LoggedEvent> event) {}
