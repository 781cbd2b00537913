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
 * Keeps the configuration in force on this VM, whether it was read from the log or received from a
 * peer, and the most recent ones before it. A lower revision never replaces a higher one.
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
   * @param users called for each configuration that comes into force, in the order of revisions
   */
  ConfigurationKeeper(Consumer<Configuration> listener) {
    this.listener = listener;
  }

  /**
   * Puts a configuration in force, unless the current one has the same or a higher revision.
   *
   * @param source where the configuration came from, for the log message
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

  /** Returns the current or an earlier configuration; absent if it is not kept any more. */
  synchronized Optional<Configuration> find(long revision) {
    return configurations.stream().filter(known -> known.revision() == revision).findFirst();
  }

  /**
   * Returns revision, author and reason of the current and earlier configurations, newest first.
   */
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
