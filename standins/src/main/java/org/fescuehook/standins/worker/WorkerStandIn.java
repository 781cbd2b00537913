package org.fescuehook.standins.worker;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.StandInServer;
import org.fescuehook.standins.worker.WorkerMessages.Empty;
import org.fescuehook.standins.worker.WorkerMessages.Failure;
import org.fescuehook.standins.worker.WorkerMessages.LeaseUsage;
import org.fescuehook.standins.worker.WorkerMessages.State;
import org.fescuehook.standins.worker.WorkerMessages.Usage;

/** One worker on its port. */
final class WorkerStandIn {
  private static final Pattern LEASE_CALL =
      Pattern.compile("(POST|DELETE) /leases/([^/]+)(/start|/checkpoint|/throttle|)");
  private static final int MAX_BODY_BYTES = 1 << 20;

  private final Resources total;
  private final long usageLagMillis;
  private final LongSupplier clock;
  private final LeaseBook book;
  private final StandInServer server;
  private final List<Exchange> heldBack = new ArrayList<>();
  private WorkerFaults faults = WorkerFaults.NONE;
  private Usage usage = new Usage(0, 0, 0, 0, List.of());
  private long usageExpiresAt = Long.MIN_VALUE;

  private record Answer(int status, Object body) {
    static final Answer OK = new Answer(200, new Empty());

    static Answer error(int status, String slug, String detail) {
      return new Answer(status, new Failure(slug, detail));
    }
  }

  WorkerStandIn(
      EventLoopGroup group,
      InetSocketAddress address,
      LeaseBook book,
      Resources total,
      long usageLagMillis,
      LongSupplier clock)
      throws StandInException {
    this.total = total;
    this.usageLagMillis = usageLagMillis;
    this.clock = clock;
    this.book = book;
    var limits = new StandInServer.Limits(Integer.MAX_VALUE, MAX_BODY_BYTES);
    this.server = new StandInServer(group, address, limits, this::handle);
  }

  StandInServer server() {
    return server;
  }

  synchronized void apply(WorkerFaults next) {
    faults = next;

    List<Exchange> held = List.copyOf(heldBack);
    heldBack.clear();
    held.forEach(this::handle);
  }

  /** Lets tasks end and leases lapse that are due. */
  synchronized void tick() {
    if (!faults.frozen()) {
      book.expire(clock.getAsLong());
    }
  }

  synchronized int leases() {
    return book.leases().size();
  }

  synchronized int heldBack() {
    return heldBack.size();
  }

  private synchronized void handle(Exchange exchange) {
    if (faults.frozen()) {
      heldBack.add(exchange);
    } else if (!faults.silent()) {
      exchange.later(faults.delayMs(), () -> answer(exchange));
    }
  }

  private synchronized void answer(Exchange exchange) throws IOException {
    Answer answer = call(clock.getAsLong(), exchange);
    if (faults.loseReplies()) {
      exchange.close();
      return;
    }
    exchange.reply(answer.status(), answer.body());
  }

  private Answer call(long now, Exchange exchange) throws IOException {
    return switch (exchange.call()) {
      case "POST /leases" -> grant(now, exchange.json(WorkerMessages.Grant.class));
      case "POST /renewals" -> renew(now, exchange.json(WorkerMessages.Renewal.class));
      case "GET /usage" -> usage(now);
      default -> leaseCall(now, exchange);
    };
  }

  private Answer leaseCall(long now, Exchange exchange) throws IOException {
    Matcher call = LEASE_CALL.matcher(exchange.call());
    if (!call.matches()) {
      return Answer.error(404, "not-found", exchange.call());
    }
    Optional<Lease> lease = book.find(now, call.group(2));
    if (lease.isEmpty()) {
      return Answer.error(404, "gone", call.group(2));
    }
    return switch (call.group(1) + call.group(3)) {
      case "POST/start" -> start(now, lease.get(), exchange.json(WorkerMessages.Start.class));
      case "POST/checkpoint" -> checkpoint(now, lease.get());
      case "POST/throttle" ->
          throttle(now, lease.get(), exchange.json(WorkerMessages.Throttle.class));
      case "DELETE" -> release(now, lease.get());
      default -> Answer.error(405, "method", exchange.call());
    };
  }

  private Answer grant(long now, WorkerMessages.Grant grant) {
    if (faults.refuseGrants()) {
      book.refuse(now, grant.key(), grant.resources());
      return Answer.error(409, "insufficient", "no grants");
    }
    return book.grant(now, grant.key(), grant.resources(), grant.ttlMs())
        .map(l -> new Answer(201, new WorkerMessages.Granted(l.id)))
        .orElse(Answer.error(409, "insufficient", "not enough is free"));
  }

  private Answer renew(long now, WorkerMessages.Renewal renewal) {
    List<State> states = new ArrayList<>();
    List<String> gone = new ArrayList<>();
    for (String id : renewal.leases()) {
      Optional<Lease> found = book.find(now, id);
      if (found.isEmpty()) {
        gone.add(id);
        continue;
      }
      Lease lease = found.get();
      book.renew(now, lease, renewal.ttlMs());
      states.add(new State(id, lease.state, lease.exitCode));
    }
    return new Answer(200, new WorkerMessages.Renewed(states, gone));
  }

  private Answer start(long now, Lease lease, WorkerMessages.Start start) {
    TaskCommand command = TaskCommand.parse(start.command());
    book.start(now, lease, start.job(), faults.failTasks() ? new TaskCommand(0, 1) : command);
    return Answer.OK;
  }

  private Answer checkpoint(long now, Lease lease) {
    if (!faults.ignoreCheckpoint()) {
      lease.checkpointAt = Math.min(lease.checkpointAt, now + faults.checkpointMs());
      book.changed(lease);
    }
    return new Answer(202, new Empty());
  }

  private Answer throttle(long now, Lease lease, WorkerMessages.Throttle throttle) {
    lease.throttle(now, Math.clamp(throttle.percent(), 1, 100));
    book.changed(lease);
    return Answer.OK;
  }

  private Answer release(long now, Lease lease) {
    book.release(now, lease);
    return Answer.OK;
  }

  private Answer usage(long now) {
    if (now >= usageExpiresAt) {
      book.expire(now);
      usageExpiresAt = now + usageLagMillis;
      long asOf = System.currentTimeMillis();
      List<LeaseUsage> leases = book.leases().stream().map(LeaseUsage::of).toList();
      usage = new Usage(asOf, total.accelerators(), total.cores(), total.memoryMegabytes(), leases);
    }
    return new Answer(200, usage);
  }
}
