package org.fescuehook.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.net.operator.OperatorBackend.Publication;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The configuration in force on this VM, whichever way it came, and the last ones before it. A
 * lower revision never replaces a higher one.
 */
final class ConfigurationKeeper {

  private static final Logger LOGGER = LoggerFactory.getLogger(ConfigurationKeeper.class);
  private static final int MAX_CONFIGURATIONS = 8;
  private static final int MAX_PUBLICATIONS = 256;

  private final Consumer<Configuration> listener;
  private final Deque<Configuration> configurations = new ArrayDeque<>();
  private final Deque<Publication> publications = new ArrayDeque<>();

  /**
   * Creates a keeper without a configuration.
   *
   * @param users told of each configuration that comes into force, in the order of revisions
   */
  ConfigurationKeeper(Consumer<Configuration> listener) {
    this.listener = listener;
  }

  /**
   * Puts a configuration in force unless one at least as new is.
   *
   * @param source where it came from, for the log
   */
  synchronized void offer(Configuration configuration, String source) {
    if (configuration.revision() <= revision()) {
      return;
    }
    configurations.push(configuration);
    publications.push(publication(configuration));
    trim(configurations, MAX_CONFIGURATIONS);
    trim(publications, MAX_PUBLICATIONS);
    EventLog.info(
        LOGGER,
        EntryEvent.CONFIGURATION_IN_FORCE,
        configuration.revision(),
        configuration.author(),
        source);
    listener.accept(configuration);
  }

  /** Returns the configuration in force. */
  synchronized Optional<Configuration> current() {
    return Optional.ofNullable(configurations.peek());
  }

  /** Returns the revision in force. */
  synchronized long revision() {
    return current().map(Configuration::revision).orElse(Configuration.NO_REVISION);
  }

  /** Returns a configuration that is or was in force, if it is kept. */
  synchronized Optional<Configuration> find(long revision) {
    return configurations.stream().filter(known -> known.revision() == revision).findFirst();
  }

  /** Returns what is known of the configurations that are or were in force, newest first. */
  synchronized List<Publication> history() {
    return new ArrayList<>(publications);
  }

  private static Publication publication(Configuration configuration) {
    return new Publication(
        configuration.revision(),
        configuration.baseRevision(),
        configuration.author(),
        configuration.reason());
  }

  private static void trim(Deque<?> deque, int maxSize) {
    while (deque.size() > maxSize) {
      deque.removeLast();
    }
  }
}
