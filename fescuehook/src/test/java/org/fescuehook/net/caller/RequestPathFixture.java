package org.fescuehook.net.caller;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.control.ControlPort;
import org.fescuehook.logic.dispatch.OutcomeFetcher;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Executor;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.SlotShare;
import org.fescuehook.wire.SlotShares;

/** Request path on loopback with fake collaborators; it accepts requests once constructed. */
final class RequestPathFixture implements AutoCloseable {
  static final String ORGANISATION = "Organisation: alpha\r\n";
  static final FailureDomain DOMAIN = new FailureDomain("d1");

  static final RequestPreferences PREFERENCES =
      new RequestPreferences(
          Duration.ofSeconds(5),
          Duration.ofSeconds(20),
          64 << 10,
          8 << 10,
          200,
          100,
          0.5,
          3,
          Duration.ofSeconds(10),
          Duration.ofSeconds(60),
          Duration.ofSeconds(15),
          Duration.ofHours(1));

  final SimpleMeterRegistry metrics = new SimpleMeterRegistry();
  final RequestPath path;
  final InetSocketAddress address;
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

  RequestPathFixture(
      String vm,
      RequestPreferences preferences,
      FakeLog log,
      OutcomeFetcher outcomes,
      ControlPort control,
      List<FakeExecutor> executors,
      int slots)
      throws ServicePortException {
    path =
        new RequestPath(
            new IdentityPreferences(new VmId(vm), DOMAIN),
            vm + "-1",
            preferences,
            loops,
            control,
            log,
            outcomes,
            metrics,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    path.configurationInForce(configuration(executors));
    path.sharesInForce(shares(vm, executors.size(), slots));
    path.ready(true, RefusalReason.NOT_READY);
    log.join(path);
    address = path.start();
  }

  RequestPathFixture(FakeLog log, int slots, FakeExecutor... executors)
      throws ServicePortException {
    this("vm-1", PREFERENCES, log, NO_PEERS, NO_CONTROL, List.of(executors), slots);
  }

  static final OutcomeFetcher NO_PEERS = (claimant, key, sink) -> sink.accept(Optional.empty());
  static final ControlPort NO_CONTROL = (request, sink) -> false;

  static Configuration configuration(List<FakeExecutor> executors) {
    List<Executor> declared = new ArrayList<>();
    for (int i = 0; i < executors.size(); i++) {
      declared.add(
          new Executor(new ExecutorId("executor-" + i), executors.get(i).address(), DOMAIN, 8, 64));
    }
    List<Organisation> organisations =
        List.of(
            new Organisation(new OrganisationId("alpha"), 1, 0, 150),
            new Organisation(new OrganisationId("beta"), 1, 0, 150));
    return new Configuration(
        1,
        0,
        "test",
        "test",
        "",
        new Declarations(
            organisations,
            List.of(),
            List.of(),
            new Fleet(List.of(), declared),
            PolicyPreferences.DEFAULT));
  }

  static SlotShares shares(String vm, int executors, int slots) {
    SlotShares.Builder shares = SlotShares.newBuilder().setSettleMillis(0);
    for (int i = 0; i < executors; i++) {
      shares.addShares(
          SlotShare.newBuilder()
              .setExecutor("executor-" + i)
              .setVm(vm)
              .setSlots(slots)
              .setConnections(slots * 4));
    }
    return shares.build();
  }

  RawCaller.Answer get(String uri, String fields) throws IOException {
    return RawCaller.call(address, "GET", uri, ORGANISATION + fields, "");
  }

  RawCaller.Answer post(String uri, String fields, String body) throws IOException {
    return RawCaller.call(address, "POST", uri, ORGANISATION + fields, body);
  }

  double count(String name, String... tags) {
    return metrics.counter(name, tags).count();
  }

  double refused(RefusalReason reason) {
    return count("fescuehook.requests.refused", "reason", reason.slug());
  }

  @Override
  public void close() {
    path.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
