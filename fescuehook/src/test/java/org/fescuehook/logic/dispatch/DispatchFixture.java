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

/** A dispatch core with a virtual clock; collects the commands of the core. */
final class DispatchFixture {
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
  final LocalOutcomes localOutcomes = new LocalOutcomes();
  final String vm;
  long now = 1_000_000;
  private int slots = 4;

  DispatchFixture(String vm, String incarnation, long seed) {
    this.vm = vm;
    this.core =
        new DispatchCore(
            new IdentityPreferences(new VmId(vm), new FailureDomain("d1")),
            incarnation,
            PREFERENCES,
            localOutcomes,
            new Random(seed),
            commands::add);
  }

  /**
   * Returns a core that accepts requests, with executors {@code e0}, {@code e1} and so on, and
   * organisations a and b.
   */
  static DispatchFixture ready(int executors, int slots) {
    DispatchFixture fixture = new DispatchFixture("vm-1", "inc-1", 7);
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

  /** Advances the clock, with a tick every 5 ms. */
  void advanceTime(long millis) {
    for (long endMillis = now + millis; now < endMillis; ) {
      now = Math.min(endMillis, now + 5);
      handle(new DispatchEvent.Tick());
    }
  }

  RequestAttributes attributes(String organisation, boolean urgent, boolean repeatable) {
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

  void arrive(long ticket, RequestAttributes attributes) {
    handle(new DispatchEvent.Arrived(ticket, attributes));
  }

  void endDispatch(long ticket, DispatchResult result) {
    handle(new DispatchEvent.DispatchEnded(ticket, result, 5));
  }

  void answer(long ticket) {
    endDispatch(ticket, answered("done"));
  }

  static DispatchResult answered(String body) {
    return new DispatchResult.Answered(
        200, "text/plain", body.getBytes(StandardCharsets.UTF_8), true);
  }

  static DispatchResult connectionLost() {
    return new DispatchResult.Failed(DispatchResult.FailureKind.CONNECTION_LOST, false, true);
  }

  void readRecord(long offset, long appendedMillis, RequestRecord record) {
    handle(
        new DispatchEvent.RecordRead(new LogRecord(offset, appendedMillis, record.toByteArray())));
  }

  /** Acknowledges the last append and reads its record back at an offset. */
  void appendAndRead(long offset, long appendedMillis) {
    DispatchCommand.Append append = last(DispatchCommand.Append.class).orElseThrow();
    handle(new DispatchEvent.AppendEnded(append.append(), new AppendResult.Appended(offset)));
    readRecord(offset, appendedMillis, append.record());
  }

  void setLeaving(String... executors) {
    Set<ExecutorId> leavingIds = new java.util.HashSet<>();
    for (String executor : executors) {
      leavingIds.add(new ExecutorId(executor));
    }
    handle(new DispatchEvent.Leaving(leavingIds));
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

  /** Returns the tickets of the dispatched requests in the order of their dispatches. */
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
