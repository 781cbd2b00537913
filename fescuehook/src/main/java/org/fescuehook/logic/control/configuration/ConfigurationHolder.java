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
 * Holds the configuration in force on this VM. It changes only to a higher revision, and only once
 * the end of the stream is reached, so that a VM that reads old records does not put an old
 * configuration in force.
 */
public final class ConfigurationHolder {
  private final DeclarationsReader reader;
  private Optional<Configuration> inForce = Optional.empty();
  private long latestRevision = Configuration.NO_REVISION;

  /** Creates a holder without configuration. */
  public ConfigurationHolder(DeclarationsReader reader) {
    this.reader = reader;
  }

  /** Returns the configuration in force. */
  public Optional<Configuration> inForce() {
    return inForce;
  }

  /** Returns whether this VM failed to parse the revision in force in the log. */
  public boolean unreadable(ControlState state) {
    return latestRevision == state.revision() && !readable(state);
  }

  /** Returns whether the revision in force in the log is in force on this VM. */
  public boolean readable(ControlState state) {
    return inForce.map(Configuration::revision).orElse(Configuration.NO_REVISION)
        == state.revision();
  }

  /**
   * Puts the configuration of the log in force if it is newer. Implements the part of the action
   * {@code Read} of the module Configuration that puts a configuration in force.
   *
   * @return whether the configuration in force changed
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
