package org.fescuehook.net.peer;

import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.fescuehook.logic.membership.PeerReport;
import org.fescuehook.wire.ConfigurationReply;
import org.fescuehook.wire.Heartbeat;
import org.fescuehook.wire.OutcomeReply;
import org.fescuehook.wire.RequestKey;

/** Records the messages of peers; knows the outcome of one request and one configuration. */
final class RecordingListener implements PeerListener {

  static final RequestKey KNOWN =
      RequestKey.newBuilder().setOrganisation("org").setRequestId("known").build();
  static final long REVISION_PLUS_ONE = 18;

  final BlockingQueue<PeerReport> reports = new LinkedBlockingQueue<>();
  final BlockingQueue<ConfigurationReply> configurations = new LinkedBlockingQueue<>();

  @Override
  public void heard(PeerReport report) {
    reports.add(report);
  }

  @Override
  public void configurationReceived(ConfigurationReply reply) {
    configurations.add(reply);
  }

  @Override
  public Heartbeat heartbeat() {
    return Heartbeat.newBuilder()
        .setRevisionPlusOne(REVISION_PLUS_ONE)
        .setLogReachable(true)
        .build();
  }

  @Override
  public Optional<OutcomeReply> outcome(RequestKey key) {
    if (!key.equals(KNOWN)) {
      return Optional.empty();
    }
    return Optional.of(OutcomeReply.newBuilder().setInProgress(true).build());
  }

  @Override
  public Optional<ConfigurationReply> configurationAbove(long revisionPlusOne) {
    return Optional.of(
        ConfigurationReply.newBuilder().setRevisionPlusOne(REVISION_PLUS_ONE).build());
  }
}
