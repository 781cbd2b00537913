package org.fescuehook.standins.executor;

import java.util.Set;

/**
 * Behaviour of some executors.
 *
 * @param names whom it concerns; empty for all
 * @param behaviour how they treat requests from now on
 * @param delayMs delay of the behaviours that have one, in milliseconds
 */
public record ExecutorFaults(Set<String> names, Behaviour behaviour, long delayMs) {

  boolean concerns(String name) {
    return names.isEmpty() || names.contains(name);
  }
}
