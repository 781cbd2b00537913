package org.fescuehook.logic.control.configuration;

import java.util.Optional;
import org.fescuehook.logic.control.ControlCommand;
import org.fescuehook.logic.control.ControlLogEvent;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.control.DeclarationsReader;
import org.fescuehook.logic.control.DeclarationsReader.InvalidDeclarationsException;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.wire.ConfigurationPublished;

/**
 * Holds the configuration in force on this VM. It is changed only at the end of the stream, so that
 * a VM that reads old records puts no old configuration in force, and only to a higher revision.
 */
public final class ConfigurationHolder {
  private final DeclarationsReader reader;
  private Optional<Configuration> inForce = Optional.empty();
  private long latestRevision = Configuration.NO_REVISION;

  /** Creates a holder without a configuration. */
  public ConfigurationHolder(DeclarationsReader reader) {
    this.reader = reader;
  }

  /** Returns the configuration in force. */
  public Optional<Configuration> inForce() {
    return inForce;
  }

  /** Tells whether the revision in force in the log was tried and cannot be read here. */
  public boolean unreadable(ControlState state) {
    return latestRevision == state.revision() && !readable(state);
  }

  /** Tells whether the revision in force in the log is in force here. */
  public boolean readable(ControlState state) {
    return inForce.map(Configuration::revision).orElse(Configuration.NO_REVISION)
        == state.revision();
  }

  /**
   * Puts the configuration of the log in force if it is newer. Implements what {@code Read} of the
   * module Configuration puts in force.
   *
   * @return whether it changed
   */
  public boolean update(ControlState state, DecisionContext context) {
    if (state.revision() <= latestRevision) {
      return false;
    }
    latestRevision = state.revision();
    ConfigurationPublished published = state.configuration();
    Configuration configuration;
    try {
      configuration =
          new Configuration(
              state.revision(),
              published.getBaseRevisionPlusOne() - 1,
              published.getAuthor(),
              published.getReason(),
              published.getDeclarations(),
              reader.parse(published.getDeclarations()));
    } catch (InvalidDeclarationsException e) {
      context.note(ControlLogEvent.CONFIGURATION_UNREADABLE, latestRevision, e.getMessage());
      context.count("fescuehook.control.configuration.unreadable");
      return false;
    }
    inForce = Optional.of(configuration);
    context.note(
        ControlLogEvent.CONFIGURATION_IN_FORCE,
        configuration.revision(),
        configuration.author(),
        configuration.reason());
    context.add(new ControlCommand.ConfigurationInForce(configuration));
    return true;
  }
}
