package org.fescuehook.standins.worker;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fescuehook.standins.MonotonicClock;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.Exchange;
import org.fescuehook.standins.http.Json;
import org.fescuehook.standins.http.ServerLimits;
import org.fescuehook.standins.http.StandInServer;
import org.fescuehook.standins.worker.WorkerMessages.Empty;
import org.fescuehook.standins.worker.WorkerMessages.Usage;

/** One worker on its port. */
final class WorkerStandIn implements AutoCloseable {
  private final String name;
  private final WorkerCapacity capacity;
  private final MonotonicClock clock;
  private final LeaseBook book;
  private final List<Exchange> heldBack = new ArrayList<>();
  private final StandInServer server;
  private WorkerFaults faults = WorkerFaults.none();
  private Usage usage;

  WorkerStandIn(
      EventLoopGroup group,
      InetSocketAddress address,
      String name,
      String incarnation,
      WorkerCapacity capacity,
      MonotonicClock clock,
      Consumer<WorkerEvent> journal)
      throws StandInException {
    this.name = name;
    this.capacity = capacity;
    this.clock = clock;
    this.book = new LeaseBook(name, incarnation, capacity.total(), journal);
    this.usage = usage(clock.millis());
    this.server = new StandInServer(group, address, ServerLimits.unlimited(), this::handle);
  }

  String name() {
    return name;
  }

  InetSocketAddress address() {
    return server.address();
  }

  synchronized void apply(WorkerFaults next) {
    faults = next;
    if (next.frozen()) {
      return;
    }
    book.expire(clock.millis());
    List<Exchange> held = List.copyOf(heldBack);
    heldBack.clear();
    held.forEach(this::handle);
  }

  /** Lets tasks end and leases lapse that are due. */
  synchronized void tick() {
    if (!faults.frozen()) {
      book.expire(clock.millis());
    }
  }

  synchronized int leases() {
    return book.leases().size();
  }

  void silenceOpenConnections() {
    server.silenceOpenConnections();
  }

  @Override
  public void close() {
    server.close();
  }

  private synchronized void handle(Exchange exchange) {
    if (faults.frozen()) {
      heldBack.add(exchange);
      return;
    }
    if (!faults.silent()) {
      exchange.later(faults.delayMs(), () -> answer(exchange));
    }
  }

  private synchronized void answer(Exchange exchange) {
    Result result;
    try {
      result = call(clock.millis(), exchange);
    } catch (IOException | IllegalArgumentException e) {
      result = Result.error(400, "bad-request", String.valueOf(e.getMessage()));
    }
    if (faults.loseReplies()) {
      exchange.close();
      return;
    }
    exchange.json(result.status(), result.body());
  }

  private Result call(long now, Exchange exchange) throws IOException {
    List<String> path = exchange.segments();
    String call = exchange.method() + " " + String.join("/", path);
    switch (call) {
      case "POST leases" -> {
        return grant(now, Json.read(exchange.body(), WorkerMessages.Grant.class));
      }
      case "POST renewals" -> {
        return renew(now, Json.read(exchange.body(), WorkerMessages.Renewal.class));
      }
      case "GET usage" -> {
        return new Result(200, laggingUsage(now));
      }
      default -> {
        return leaseCall(now, exchange, path);
      }
    }
  }

  private Result leaseCall(long now, Exchange exchange, List<String> path) throws IOException {
    if (path.size() < 2 || path.size() > 3 || !path.get(0).equals("leases")) {
      return Result.error(404, "not-found", exchange.path());
    }
    Optional<Lease> found = book.find(now, path.get(1));
    if (found.isEmpty()) {
      return Result.error(404, "gone", path.get(1));
    }
    Lease lease = found.get();
    String call = exchange.method() + " " + (path.size() == 3 ? path.get(2) : "");
    switch (call) {
      case "POST start" -> {
        return start(now, lease, Json.read(exchange.body(), WorkerMessages.Start.class));
      }
      case "POST checkpoint" -> {
        return checkpoint(now, lease);
      }
      case "POST throttle" -> {
        int percent = Json.read(exchange.body(), WorkerMessages.Throttle.class).percent();
        book.throttle(now, lease, Math.clamp(percent, 1, 100));
        return Result.ok();
      }
      case "DELETE " -> {
        book.release(now, lease);
        return Result.ok();
      }
      default -> {
        return Result.error(405, "method", call);
      }
    }
  }

  private Result grant(long now, WorkerMessages.Grant grant) {
    if (faults.refuseGrants()) {
      book.refuse(now, grant.key(), grant.resources());
      return Result.error(409, "insufficient", "refusing");
    }
    return book.grant(now, grant.key(), grant.resources(), grant.ttlMs())
        .map(l -> new Result(201, new WorkerMessages.Granted(l.id)))
        .orElseGet(() -> Result.error(409, "insufficient", "not enough resources are free"));
  }

  private Result start(long now, Lease lease, WorkerMessages.Start start) {
    TaskCommand asked = TaskCommand.parse(start.command());
    TaskCommand command = faults.failTasks() ? new TaskCommand.Run(0, 1) : asked;
    book.start(now, lease, start.job(), command);
    return Result.ok();
  }

  private Result checkpoint(long now, Lease lease) {
    if (!faults.ignoreCheckpoint()) {
      book.checkpoint(lease, now + faults.checkpointMs());
    }
    return new Result(202, new Empty());
  }

  private Result renew(long now, WorkerMessages.Renewal renewal) {
    List<WorkerMessages.State> states = new ArrayList<>();
    List<String> gone = new ArrayList<>();
    for (String id : renewal.leases()) {
      Optional<Lease> found = book.find(now, id);
      if (found.isEmpty()) {
        gone.add(id);
        continue;
      }
      Lease lease = found.get();
      book.renew(now, lease, renewal.ttlMs());
      states.add(new WorkerMessages.State(id, lease.state, lease.exitCode));
    }
    return new Result(200, new WorkerMessages.Renewed(states, gone));
  }

  private Usage laggingUsage(long now) {
    if (now - usage.asOf() >= capacity.usageLagMs()) {
      usage = usage(now);
    }
    return usage;
  }

  private Usage usage(long now) {
    book.expire(now);
    List<WorkerMessages.LeaseUsage> leases =
        book.leases().stream().map(WorkerStandIn::leaseUsage).toList();
    Resources total = capacity.total();
    return new Usage(
        now, total.accelerators(), total.cores(), total.memoryMegabytes(), leases);
  }

  private static WorkerMessages.LeaseUsage leaseUsage(Lease lease) {
    Resources r = lease.resources;
    return new WorkerMessages.LeaseUsage(
        lease.id, lease.key, lease.state, r.accelerators(), r.cores(), r.memoryMegabytes());
  }

  /** An answer before it is sent or lost. */
  private record Result(int status, Object body) {
    static Result ok() {
      return new Result(200, new Empty());
    }

    static Result error(int status, String slug, String detail) {
      return new Result(status, new Failure(slug, detail));
    }
  }

  private record Failure(String error, String detail) {}
}
