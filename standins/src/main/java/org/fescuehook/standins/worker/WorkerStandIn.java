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

/** One worker, with its HTTP server, leases and faults. */
final class WorkerStandIn {
  private static final Pattern LEASE_REQUEST =
      Pattern.compile("(POST|DELETE) /leases/([^/]+)(/start|/checkpoint|/throttle|)");
  private static final int MAX_BODY_BYTES = 1 << 20;

  private final Resources total;
  private final long usageLagMillis;
  private final LongSupplier clock;
  private final LeaseRegistry registry;
  private final StandInServer server;
  private final List<Exchange> heldBack = new ArrayList<>();
  private WorkerFaults faults = WorkerFaults.NONE;
  private Usage usage = new Usage(0, 0, 0, 0, List.of());
  private long usageExpiresAt = Long.MIN_VALUE;

  private record Response(int status, Object body) {
    static final Response OK = new Response(200, new Empty());

    static Response error(int status, String slug, String detail) {
      return new Response(status, new Failure(slug, detail));
    }
  }

  WorkerStandIn(
      EventLoopGroup group,
      InetSocketAddress address,
      LeaseRegistry registry,
      Resources total,
      long usageLagMillis,
      LongSupplier clock)
      throws StandInException {
    this.total = total;
    this.usageLagMillis = usageLagMillis;
    this.clock = clock;
    this.registry = registry;
    var limits = new StandInServer.Limits(Integer.MAX_VALUE, MAX_BODY_BYTES);
    this.server = new StandInServer(group, address, limits, this::handle);
  }

  StandInServer server() {
    return server;
  }

  synchronized void apply(WorkerFaults next) {
    faults = next;

    List<Exchange> requests = List.copyOf(heldBack);
    heldBack.clear();
    requests.forEach(this::handle);
  }

  /** Ends the tasks and expires the leases that are due, unless the worker is frozen. */
  synchronized void expire() {
    if (!faults.frozen()) {
      registry.expire(clock.getAsLong());
    }
  }

  synchronized int leases() {
    return registry.leases().size();
  }

  synchronized int heldBack() {
    return heldBack.size();
  }

  private synchronized void handle(Exchange exchange) {
    if (faults.frozen()) {
      heldBack.add(exchange);
    } else if (!faults.silent()) {
      exchange.later(faults.delayMs(), () -> respond(exchange));
    }
  }

  private synchronized void respond(Exchange exchange) throws IOException {
    Response response = execute(clock.getAsLong(), exchange);
    if (faults.loseReplies()) {
      exchange.close();
      return;
    }
    exchange.reply(response.status(), response.body());
  }

  private Response execute(long now, Exchange exchange) throws IOException {
    return switch (exchange.call()) {
      case "POST /leases" -> grant(now, exchange.json(WorkerMessages.Grant.class));
      case "POST /renewals" -> renew(now, exchange.json(WorkerMessages.Renewal.class));
      case "GET /usage" -> usage(now);
      default -> handleLeaseRequest(now, exchange);
    };
  }

  private Response handleLeaseRequest(long now, Exchange exchange) throws IOException {
    Matcher call = LEASE_REQUEST.matcher(exchange.call());
    if (!call.matches()) {
      return Response.error(404, "not-found", exchange.call());
    }
    Optional<Lease> lease = registry.find(now, call.group(2));
    if (lease.isEmpty()) {
      return Response.error(404, "gone", call.group(2));
    }
    return switch (call.group(1) + call.group(3)) {
      case "POST/start" -> start(now, lease.get(), exchange.json(WorkerMessages.Start.class));
      case "POST/checkpoint" -> checkpoint(now, lease.get());
      case "POST/throttle" ->
          throttle(now, lease.get(), exchange.json(WorkerMessages.Throttle.class));
      case "DELETE" -> release(now, lease.get());
      default -> Response.error(405, "method", exchange.call());
    };
  }

  private Response grant(long now, WorkerMessages.Grant grant) {
    if (faults.refuseGrants()) {
      registry.refuse(now, grant.key(), grant.resources());
      return Response.error(409, "insufficient", "no grants");
    }
    return registry
        .grant(now, grant.key(), grant.resources(), grant.ttlMs())
        .map(lease -> new Response(201, new WorkerMessages.Granted(lease.id)))
        .orElse(Response.error(409, "insufficient", "not enough is free"));
  }

  private Response renew(long now, WorkerMessages.Renewal renewal) {
    List<State> states = new ArrayList<>();
    List<String> gone = new ArrayList<>();
    for (String id : renewal.leases()) {
      Optional<Lease> found = registry.find(now, id);
      if (found.isEmpty()) {
        gone.add(id);
        continue;
      }
      Lease lease = found.get();
      registry.renew(now, lease, renewal.ttlMs());
      states.add(new State(id, lease.state, lease.exitCode));
    }
    return new Response(200, new WorkerMessages.Renewed(states, gone));
  }

  private Response start(long now, Lease lease, WorkerMessages.Start start) {
    TaskCommand command = TaskCommand.parse(start.command());
    registry.start(now, lease, start.job(), faults.failTasks() ? new TaskCommand(0, 1) : command);
    return Response.OK;
  }

  private Response checkpoint(long now, Lease lease) {
    if (!faults.ignoreCheckpoint()) {
      lease.checkpointAt = Math.min(lease.checkpointAt, now + faults.checkpointMs());
      registry.updateNextEvent(lease);
    }
    return new Response(202, new Empty());
  }

  private Response throttle(long now, Lease lease, WorkerMessages.Throttle throttle) {
    lease.throttle(now, Math.clamp(throttle.percent(), 1, 100));
    registry.updateNextEvent(lease);
    return Response.OK;
  }

  private Response release(long now, Lease lease) {
    registry.release(now, lease);
    return Response.OK;
  }

  private Response usage(long now) {
    if (now >= usageExpiresAt) {
      registry.expire(now);
      usageExpiresAt = now + usageLagMillis;
      long asOf = System.currentTimeMillis();
      List<LeaseUsage> leases = registry.leases().stream().map(LeaseUsage::of).toList();
      usage = new Usage(asOf, total.accelerators(), total.cores(), total.memoryMegabytes(), leases);
    }
    return new Response(200, usage);
  }
}
