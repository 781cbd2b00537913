package org.fescuehook.entry;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.net.caller.RequestPath;
import org.fescuehook.net.operator.OperatorBackend;
import org.fescuehook.net.operator.VmStatus;

/** Provides the data and actions of this VM's port for operators. */
record VmBackend(
    IdentityPreferences identity,
    String incarnation,
    VmState state,
    ConfigurationKeeper keeper,
    RequestPath requests,
    ListDuty list,
    PrometheusMeterRegistry meters,
    Runnable stop)
    implements OperatorBackend {

  @Override
  public Optional<String> notReady() {
    return state.notReady();
  }

  @Override
  public String metrics() {
    return meters.scrape();
  }

  @Override
  public VmStatus status() {
    return new VmStatus(
        identity.vm().value(),
        identity.domain().value(),
        incarnation,
        state.notReady(),
        keeper.revision(),
        state.logReachable(),
        requests.inFlight(),
        names(state.alivePeers()),
        names(state.peersReachingLog()),
        list.leaving());
  }

  @Override
  public Optional<Configuration> configuration() {
    return keeper.current();
  }

  @Override
  public Optional<Configuration> configuration(long revision) {
    return keeper.find(revision);
  }

  @Override
  public List<Publication> history() {
    return keeper.history();
  }

  @Override
  public void drain() {
    stop.run();
  }

  private static List<String> names(Collection<VmId> vms) {
    return vms.stream().map(VmId::value).sorted().toList();
  }
}
