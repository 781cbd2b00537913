package org.fescuehook.logic.dispatch;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.fescuehook.logic.platform.LogAppender.AppendResult;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Executor;
import org.fescuehook.model.fleet.ExecutorId;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.log.LogRecord;
import org.fescuehook.model.organisation.Organisation;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.wire.RequestRecord;
import org.fescuehook.wire.SlotShare;
import org.fescuehook.wire.SlotShares;

/** A dispatch core on a virtual clock, which keeps what it commands. */
final class CoreFixture {
  static final RequestPreferences PREFERENCES =
      new RequestPreferences(
          Duration.ofSeconds(10),
          Duration.ofMinutes(2),
          1 << 20,
          16 << 10,
          2000,
          50,
          0.1,
          3,
          Duration.ofSeconds(10),
          Duration.ofSeconds(60),
          Duration.ofSeconds(15),
          Duration.ofHours(1));

  final List<DispatchCommand> commands = new ArrayList<>();
  final DispatchCore core;
  final LocalOutcomes own = new LocalOutcomes();
  final String vm;
  long now = 1_000_000;
  private int slots = 4;

  CoreFixture(String vm, String incarnation, long seed) {
    this.vm = vm;
    this.core =
        new DispatchCore(
            new IdentityPreferences(new VmId(vm), new FailureDomain("d1")),
            incarnation,
            PREFERENCES,
            own,
            new Random(seed),
            commands::add);
  }

  /** Returns a core that is ready, with executors {@code e0} and on, and organisations a and b. */
  static CoreFixture ready(int executors, int slots) {
    CoreFixture fixture = new CoreFixture("vm-1", "inc-1", 7);
    fixture.makeReady(executors, slots);
    return fixture;
  }

  void makeReady(int executors, int slotsEach) {
    slots = slotsEach;
    handle(new DispatchEvent.Configured(configuration(executors)));
    handle(new DispatchEvent.Shared(shares(executors, slots, 0)));
    handle(new DispatchEvent.CaughtUp(0, 0));
    handle(new DispatchEvent.LogReachable(true));
    handle(new DispatchEvent.Ready(true, RefusalReason.NOT_READY));
  }

  static Configuration configuration(int executors) {
    List<Executor> declared = new ArrayList<>();
    for (int i = 0; i < executors; i++) {
      declared.add(
          new Executor(
              new ExecutorId("e" + i),
              new InetSocketAddress("127.0.0.1", 1 + i),
              new FailureDomain(i == 0 ? "d1" : "d2"),
              8,
              64));
    }
    List<Organisation> organisations =
        List.of(
            new Organisation(new OrganisationId("a"), 3, 0, 40),
            new Organisation(new OrganisationId("b"), 1, 0, 40));
    Declarations declarations =
        new Declarations(
            organisations,
            List.of(),
            List.of(),
            new Fleet(List.of(), declared),
            PolicyPreferences.DEFAULT);
    return new Configuration(1, 0, "test", "test", "", declarations);
  }

  SlotShares shares(int executors, int slotsEach, int settleMillis) {
    SlotShares.Builder shares = SlotShares.newBuilder().setSettleMillis(settleMillis);
    for (int i = 0; i < executors; i++) {
      shares.addShares(SlotShare.newBuilder().setExecutor("e" + i).setVm(vm).setSlots(slotsEach));
    }
    return shares.build();
  }

  void handle(DispatchEvent event) {
    core.handle(event, now);
  }

  /** Lets time pass, with ticks. */
  void pass(long millis) {
    for (long end = now + millis; now < end; ) {
      now = Math.min(end, now + 5);
      handle(new DispatchEvent.Tick());
    }
  }

  RequestAttributes facts(String organisation, boolean urgent, boolean repeatable) {
    return new RequestAttributes(
        new OrganisationId(organisation),
        Optional.empty(),
        RequestDigest.NONE,
        urgent,
        repeatable,
        now + 10_000);
  }

  RequestAttributes withId(String id, String content) {
    return new RequestAttributes(
        new OrganisationId("a"),
        Optional.of(id),
        new RequestDigest(ByteString.copyFromUtf8(content)),
        false,
        false,
        now + 10_000);
  }

  void arrive(long ticket, RequestAttributes facts) {
    handle(new DispatchEvent.Arrived(ticket, facts));
  }

  void end(long ticket, DispatchResult end) {
    handle(new DispatchEvent.DispatchEnded(ticket, end, 5));
  }

  void answer(long ticket) {
    end(ticket, answered("done"));
  }

  static DispatchResult answered(String body) {
    return new DispatchResult.Answered(
        200, "text/plain", body.getBytes(StandardCharsets.UTF_8), true);
  }

  static DispatchResult lost() {
    return new DispatchResult.Failed(DispatchResult.FailureKind.CONNECTION_LOST, false, true);
  }

  void readRecord(long offset, long appendedMillis, RequestRecord record) {
    handle(
        new DispatchEvent.RecordRead(new LogRecord(offset, appendedMillis, record.toByteArray())));
  }

  /** Ends the last append begun, and reads its record at an offset. */
  void appendAndRead(long offset, long appendedMillis) {
    DispatchCommand.Append append = last(DispatchCommand.Append.class).orElseThrow();
    handle(new DispatchEvent.AppendEnded(append.append(), new AppendResult.Appended(offset)));
    readRecord(offset, appendedMillis, append.record());
  }

  void leave(String... executors) {
    Set<ExecutorId> leaving = new java.util.HashSet<>();
    for (String executor : executors) {
      leaving.add(new ExecutorId(executor));
    }
    handle(new DispatchEvent.Leaving(leaving));
  }

  <T extends DispatchCommand> List<T> all(Class<T> type) {
    return commands.stream().filter(type::isInstance).map(type::cast).toList();
  }

  <T extends DispatchCommand> Optional<T> last(Class<T> type) {
    List<T> all = all(type);
    return all.isEmpty() ? Optional.empty() : Optional.of(all.getLast());
  }

  List<String> executorsOf(long ticket) {
    return all(DispatchCommand.Send.class).stream()
        .filter(send -> send.ticket() == ticket)
        .map(send -> send.executor().value())
        .toList();
  }

  /** Returns the tickets in the order in which they were sent. */
  List<Long> sentTickets() {
    return all(DispatchCommand.Send.class).stream().map(DispatchCommand.Send::ticket).toList();
  }

  Optional<RefusalReason> refusalOf(long ticket) {
    return all(DispatchCommand.Refuse.class).stream()
        .filter(refuse -> refuse.ticket() == ticket)
        .map(DispatchCommand.Refuse::reason)
        .findFirst();
  }

  long count(String name) {
    return all(DispatchCommand.Count.class).stream().filter(c -> c.name().equals(name)).count();
  }
}
