package org.fescuehook.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.maintenance.MaintenanceOutcome;
import org.fescuehook.logic.batch.maintenance.MaintenanceOutcome.Reason;
import org.fescuehook.model.batch.Machine;
import org.fescuehook.model.batch.MachineId;
import org.fescuehook.model.batch.WaveId;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.net.http.ScriptedServer;
import org.fescuehook.net.http.ScriptedServer.Act;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against lists that lack machines, and outcomes that are taken for certain. */
class MachineClientTest {

  private static final MachineId MACHINE = new MachineId("m-1");

  private static final BatchCommand.BeginMaintenance CALL =
      call(System.nanoTime() + Duration.ofMinutes(5).toNanos());

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<BatchEvent> events = new LinkedBlockingQueue<>();
  private final ScriptedServer server = new ScriptedServer();
  private final MachineClient client =
      new MachineClient(loops.next(), Optional.of(server.address()), "vm-1/abc", 1000, events::add);

  MachineClientTest() throws IOException {}

  @AfterEach
  void stop() throws IOException {
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private static BatchCommand.BeginMaintenance call(long sendBy) {
    return new BatchCommand.BeginMaintenance(
        MACHINE, new WaveId("7"), 5, 42, Duration.ofSeconds(2), sendBy);
  }

  private BatchEvent event() throws InterruptedException {
    return events.poll(5, TimeUnit.SECONDS);
  }

  private MaintenanceOutcome call(Act act) throws InterruptedException {
    server.then(act);
    client.begin(CALL);
    BatchEvent.MaintenanceCallEnded ended = (BatchEvent.MaintenanceCallEnded) event();
    assertEquals(MACHINE, ended.machine());
    assertEquals(5, ended.number());
    return ended.outcome();
  }

  /** Guards against a former owner's call that leaves after that of its successor. */
  @Test
  void aCallThatIsLateIsNotSent() throws InterruptedException {
    client.begin(call(System.nanoTime() - 1));
    BatchEvent.MaintenanceCallEnded ended = (BatchEvent.MaintenanceCallEnded) event();
    assertInstanceOf(MaintenanceOutcome.NotSent.class, ended.outcome());
  }

  @Test
  void allPagesOfTheListAreReadAndAnUnknownStateIsNotUp() throws InterruptedException {
    server.then(
        new Act.Answer(
            200,
            """
            {"machines":[{"machineId":"m-1","state":"up","id":"i-1","pool":"p"},
            {"machineId":"m-2","state":"upkeep"}],"nextToken":"a b"}"""),
        new Act.Answer(
            200,
            """
            {"machines":[{"machineId":"m-3","state":"moving","id":"i-3"},
            {"machineId":"m-4","state":"broken","id":""}],"nextToken":null}"""));
    client.list(new BatchCommand.ListMachines(3));
    assertEquals(
        new BatchEvent.MachinesListed(
            3,
            List.of(
                new Machine(MACHINE, Machine.State.UP, Optional.of(new ExecutorId("i-1"))),
                new Machine(new MachineId("m-2"), Machine.State.IN_MAINTENANCE, Optional.empty()),
                new Machine(
                    new MachineId("m-3"),
                    Machine.State.LEAVING,
                    Optional.of(new ExecutorId("i-3"))),
                new Machine(new MachineId("m-4"), Machine.State.DOWN, Optional.empty()))),
        event());
    assertTrue(server.requests().stream().anyMatch(head -> head.contains("?pageToken=a+b")));
  }

  @Test
  void aListThatLacksAPageIsUnreadable() throws InterruptedException {
    server.then(
        new Act.Answer(200, "{\"machines\":[],\"nextToken\":\"2\"}"), new Act.Answer(429, "{}"));
    client.list(new BatchCommand.ListMachines(3));
    assertInstanceOf(BatchEvent.MachinesUnreadable.class, event());
  }

  @Test
  void aCallNamesMachineWaveHolderAndToken() throws InterruptedException {
    assertEquals(new MaintenanceOutcome.Begun(), call(new Act.Answer(200, "{}")));
    assertEquals(
        "POST /-/machine-upkeep {\"machineId\":\"m-1\",\"wave\":7}", server.requests().remove());
    assertEquals(
        Map.of("Duty-Holder", "vm-1/abc", "Fencing-Token", "42"),
        MachineMessages.begin(CALL, "vm-1/abc").headers());
  }

  @Test
  void refusalsAreToldApart() throws InterruptedException {
    assertEquals(refused(Reason.FENCED), call(conflict("fence")));
    assertEquals(refused(Reason.BUSY), call(conflict("busy")));
    assertEquals(refused(Reason.NOT_IN_WAVE), call(conflict("wave")));
    assertEquals(refused(Reason.NO_SUCH_MACHINE), call(new Act.Answer(400, "{}")));
    assertEquals(refused(Reason.TOO_MANY_CALLS), call(new Act.Answer(429, "{}")));
  }

  @Test
  void whatMayHaveBeenCarriedOutIsUnanswered() throws InterruptedException {
    assertInstanceOf(MaintenanceOutcome.Unanswered.class, call(new Act.Silence()));
    assertInstanceOf(MaintenanceOutcome.Unanswered.class, call(new Act.Answer(500, "{}")));
    assertInstanceOf(MaintenanceOutcome.Unanswered.class, call(conflict("?")));
    assertInstanceOf(MaintenanceOutcome.Unanswered.class, call(new Act.Close()));
  }

  private static Act conflict(String reason) {
    return new Act.Answer(409, "{\"reason\":\"" + reason + "\"}");
  }

  private static MaintenanceOutcome refused(Reason reason) {
    return new MaintenanceOutcome.Refused(reason);
  }
}
