package org.fescuehook.model.fleet;

import java.util.List;

/**
 * The declared backend servers.
 *
 * @param workers workers in the order of their names
 * @param executors executors in the order of their names
 */
public record Fleet(List<Worker> workers, List<Executor> executors) {

  /** Copies both lists. */
  public Fleet {
    workers = List.copyOf(workers);
    executors = List.copyOf(executors);
  }
}
