package org.fescuehook.platform;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescuehook.logic.batch.BatchCommand;
import org.fescuehook.logic.batch.BatchEvent;
import org.fescuehook.logic.batch.maintenance.MaintenanceOutcome;
import org.fescuehook.model.batch.Machine;
import org.fescuehook.net.http.HttpClientConnection;

/** Lists machines and begins their maintenance. All state is confined to one event loop. */
public final class MachineClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
  private static final Duration PAGE_TIMEOUT = Duration.ofSeconds(3);

  /** Pages after which a list counts as endless. */
  private static final int MAX_PAGES = 200;

  /** Calls at the same time; a further one is not sent, and is due again soon. */
  private static final int CALL_CONNECTIONS = 8;

  private final EventLoop loop;
  private final Optional<InetSocketAddress> service;
  private final String caller;
  private final long pageIntervalNanos;
  private final Consumer<BatchEvent> events;
  private final Optional<HttpClientConnection> reads;
  private final Deque<HttpClientConnection> idle = new ArrayDeque<>();
  private int callConnections;
  private long nextPageAt = System.nanoTime();

  /**
   * Creates a client without a connection.
   *
   * @param service address of the machine API; absent if there is none
   * @param caller name of this process, which the API is told
   * @param readsPerSecond most pages read per second
   * @param events receives lists and outcomes, on the event loop
   */
  public MachineClient(
      EventLoop loop,
      Optional<InetSocketAddress> service,
      String caller,
      double readsPerSecond,
      Consumer<BatchEvent> events) {
    this.loop = loop;
    this.service = service;
    this.caller = caller;
    this.pageIntervalNanos = Math.round(Duration.ofSeconds(1).toNanos() / readsPerSecond);
    this.events = events;
    this.reads = service.map(this::connection);
  }

  private HttpClientConnection connection(InetSocketAddress address) {
    return new HttpClientConnection(loop, address, CONNECT_TIMEOUT);
  }

  /** Reads the list of machines, page by page; it is reported as an event. */
  public void list(BatchCommand.ListMachines request) {
    loop.execute(() -> readPage(new Reading(request.number()), Optional.empty()));
  }

  /** A list of which some pages have been read. */
  private static final class Reading {
    private final long number;
    private final List<Machine> machines = new ArrayList<>();
    private int pages;

    Reading(long number) {
      this.number = number;
    }
  }

  private void readPage(Reading reading, Optional<String> token) {
    if (reads.isEmpty()) {
      fail(reading, "no service in the settings");
      return;
    }
    long now = System.nanoTime();
    long delay = nextPageAt - now;
    if (delay > 0) {
      loop.schedule(() -> readPage(reading, token), delay, TimeUnit.NANOSECONDS);
      return;
    }
    nextPageAt = now + pageIntervalNanos;
    reads
        .get()
        .send(
            MachineMessages.list(token),
            PAGE_TIMEOUT,
            result -> {
              try {
                pageRead(reading, MachineMessages.decodePage(result));
              } catch (MalformedMessageException e) {
                fail(reading, String.valueOf(e.getMessage()));
              }
            });
  }

  private void pageRead(Reading reading, MachineMessages.Page page) {
    reading.machines.addAll(page.machines());
    reading.pages++;
    if (page.next().isEmpty()) {
      events.accept(new BatchEvent.MachinesListed(reading.number, List.copyOf(reading.machines)));
    } else if (reading.pages == MAX_PAGES) {
      fail(reading, "more than " + MAX_PAGES + " pages");
    } else {
      readPage(reading, page.next());
    }
  }

  private void fail(Reading reading, String cause) {
    events.accept(new BatchEvent.MachinesUnreadable(reading.number, cause));
  }

  /** Begins the maintenance of a machine; the outcome is reported as an event. */
  public void begin(BatchCommand.BeginMaintenance call) {
    loop.execute(() -> send(call));
  }

  private void send(BatchCommand.BeginMaintenance call) {
    if (service.isEmpty()) {
      ended(call, new MaintenanceOutcome.NotSent("no service in the settings"));
      return;
    }
    if (System.nanoTime() - call.sendBy() > 0) {
      ended(call, new MaintenanceOutcome.NotSent("too late to be sent"));
      return;
    }
    if (idle.isEmpty() && callConnections == CALL_CONNECTIONS) {
      ended(call, new MaintenanceOutcome.NotSent("all connections are in use"));
      return;
    }
    if (idle.isEmpty()) {
      callConnections++;
      idle.addLast(connection(service.get()));
    }
    HttpClientConnection free = idle.removeLast();
    free.sendBy(
        call.sendBy(),
        MachineMessages.begin(call, caller),
        call.timeout(),
        result -> {
          idle.addLast(free);
          ended(call, MachineMessages.decodeCall(result));
        });
  }

  private void ended(BatchCommand.BeginMaintenance call, MaintenanceOutcome outcome) {
    events.accept(new BatchEvent.MaintenanceCallEnded(call.machine(), call.number(), outcome));
  }
}
