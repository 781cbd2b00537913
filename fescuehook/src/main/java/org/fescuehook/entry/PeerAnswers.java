package org.fescuehook.entry;

import java.util.Optional;
import java.util.function.Function;
import org.fescuehook.logic.control.DeclarationsReader;
import org.fescuehook.logic.event.EventLog;
import org.fescuehook.logic.membership.PeerReport;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.net.peer.PeerListener;
import org.fescuehook.wire.ConfigurationPublished;
import org.fescuehook.wire.ConfigurationReply;
import org.fescuehook.wire.Heartbeat;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers the peers' questions and processes their messages. */
final class PeerAnswers implements PeerListener {

  private static final Logger LOGGER = LoggerFactory.getLogger(PeerAnswers.class);

  private final VmState state;
  private final ConfigurationKeeper configuration;
  private final DeclarationsReader reader;
  private final Function<RequestKey, Optional<OutcomeReply>> outcomes;

  PeerAnswers(
      VmState state,
      ConfigurationKeeper configuration,
      DeclarationsReader reader,
      Function<RequestKey, Optional<OutcomeReply>> outcomes) {
    this.state = state;
    this.configuration = configuration;
    this.reader = reader;
    this.outcomes = outcomes;
  }

  @Override
  public void heard(PeerReport report) {
    state.recordHeartbeat(report);
  }

  @Override
  public void configurationReceived(ConfigurationReply reply) {
    long revision = reply.getRevisionPlusOne() - 1;
    if (!reply.hasConfiguration() || revision <= configuration.revision()) {
      return;
    }
    ConfigurationPublished published = reply.getConfiguration();
    try {
      configuration.offer(
          new Configuration(
              revision,
              published.getBaseRevisionPlusOne() - 1,
              published.getAuthor(),
              published.getReason(),
              published.getDeclarations(),
              reader.parse(published.getDeclarations())),
          "peer");
    } catch (DeclarationsReader.InvalidDeclarationsException e) {
      EventLog.warn(LOGGER, EntryEvent.PEER_CONFIGURATION_REFUSED, revision, e.getMessage());
    }
  }

  @Override
  public Heartbeat heartbeat() {
    return Heartbeat.newBuilder()
        .setControlNext(state.controlNext())
        .setRevisionPlusOne(configuration.revision() + 1)
        .setLogReachable(state.logReachable())
        .setDraining(state.draining())
        .setSentMillis(System.currentTimeMillis())
        .build();
  }

  @Override
  public Optional<OutcomeReply> outcome(RequestKey key) {
    return outcomes.apply(key);
  }

  @Override
  public Optional<ConfigurationReply> configurationAbove(long revisionPlusOne) {
    return configuration
        .current()
        .filter(current -> current.revision() + 1 > revisionPlusOne)
        .map(PeerAnswers::reply);
  }

  private static ConfigurationReply reply(Configuration current) {
    return ConfigurationReply.newBuilder()
        .setRevisionPlusOne(current.revision() + 1)
        .setConfiguration(
            ConfigurationPublished.newBuilder()
                .setBaseRevisionPlusOne(current.baseRevision() + 1)
                .setAuthor(current.author())
                .setReason(current.reason())
                .setDeclarations(current.text()))
        .build();
  }
}
