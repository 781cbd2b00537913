package org.fescuehook.entry.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchCore;
import org.fescuehook.logic.batch.admission.ConfigurationAge;
import org.fescuehook.logic.batch.call.BatchCall;
import org.fescuehook.logic.batch.call.CallAnswer;
import org.fescuehook.logic.batch.ownership.OwnerIdentity;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.BatchPreferences;
import org.fescuehook.model.preferences.WorkPreferences;
import org.fescuehook.platform.AdviceClient;
import org.fescuehook.platform.ExecutorClient;
import org.fescuehook.platform.ExecutorProbe;
import org.fescuehook.platform.MachineClient;
import org.fescuehook.platform.PlatformStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against losing the commands that follow one that throws an exception, such as updating a
 * counter. The answers, appends and orders of the same event were then never executed but stayed
 * pending, so a call had no answer until its deadline although it had been decided.
 */
class FailingCommandTest {

  private static final BatchCall STATUS_CALL = new BatchCall.Status("q", "key", "a1");

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  /** Throws an exception for every counter. */
  private static final class FailingRegistry extends SimpleMeterRegistry {
    @Override
    protected Counter newCounter(Meter.Id id) {
      throw new IllegalStateException("on purpose");
    }
  }

  @AfterEach
  void stop() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private BatchDuty duty() {
    EventLoop loop = loops.next();
    InetSocketAddress closedPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    Duration shortTime = Duration.ofMillis(200);
    WorkPreferences work =
        new WorkPreferences(shortTime, shortTime, shortTime, shortTime, shortTime);
    BatchPreferences batch =
        new BatchPreferences(Duration.ofSeconds(6), Duration.ofSeconds(120), work, true);
    return new BatchDuty(
        new BatchCore(new OwnerIdentity(new VmId("vm-1"), "s", "10.0.0.1:7000", 1000), batch),
        new PlatformStore(loop, closedPort, event -> {}, routes -> {}, new ConfigurationAge()),
        new ExecutorClient(loop, (id, number, outcome) -> {}),
        new ExecutorProbe(loop, (number, reached) -> {}),
        new AdviceClient(loop, Optional.empty(), (number, outcome) -> {}),
        new MachineClient(loop, Optional.empty(), "vm-1/s", 1, event -> {}),
        new FailingRegistry(),
        view -> {});
  }

  @Test
  void aCallIsAnsweredThoughUpdatingACounterFails() {
    List<CallAnswer> answers = new ArrayList<>();
    duty().accept(new BatchRing.Item.CallItem(1, STATUS_CALL, Duration.ofSeconds(1), answers::add));
    assertEquals(1, answers.size());
  }
}
