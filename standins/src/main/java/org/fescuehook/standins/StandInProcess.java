package org.fescuehook.standins;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.fescuehook.standins.control.ControlServer;
import org.fescuehook.standins.executor.ExecutorStandIns;
import org.fescuehook.standins.list.ListStandIn;
import org.fescuehook.standins.list.Member;
import org.fescuehook.standins.log.LogStandIn;
import org.fescuehook.standins.platform.AdviceStandIn;
import org.fescuehook.standins.platform.ExecutorLinks;
import org.fescuehook.standins.platform.FleetStandIn;
import org.fescuehook.standins.platform.MachineStandIn;
import org.fescuehook.standins.platform.StoreStandIn;
import org.fescuehook.standins.worker.WorkerStandIns;

/** The stand-ins of one process, and their control server. */
final class StandInProcess {
  private static final LongSupplier WALL_CLOCK_MILLIS = System::currentTimeMillis;
  private static final LongSupplier MONOTONIC_CLOCK_MILLIS = () -> System.nanoTime() / 1_000_000;

  private final EventLoopGroup group;
  private final Sizes sizes;
  private final List<StandIn<?>> standIns = new ArrayList<>();
  private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();

  /** Services for which a process can stand in. */
  enum Kind {
    LOG,
    LIST,
    EXECUTORS,
    WORKERS,
    PLATFORM,
    ALL
  }

  /**
   * Numbers and sizes of the stand-ins to start.
   *
   * @param vms how many VMs get an address of the store, and ports of the executors, of their own
   */
  record Sizes(
      int executors,
      int smallExecutors,
      int vms,
      ExecutorStandIns.Limits executorLimits,
      WorkerStandIns.Fleet fleet,
      int journalLimit) {}

  /** Starts stand-ins. With {@link Kind#ALL}, only the log listens on the given port. */
  StandInProcess(EventLoopGroup group, Kind kind, InetSocketAddress first, Sizes sizes)
      throws StandInException {
    this.group = group;
    this.sizes = sizes;
    InetSocketAddress anyPort = new InetSocketAddress(first.getAddress(), 0);
    switch (kind) {
      case LOG -> startLog(first);
      case LIST -> startList(first);
      case EXECUTORS -> startExecutors(first);
      case WORKERS -> startWorkers(first);
      case PLATFORM -> startPlatform(first);
      case ALL -> {
        startLog(first);
        startExecutors(anyPort);
        startWorkers(anyPort);
        startList(anyPort);
      }
    }
    addresses.put("control", new ControlServer(group, anyPort, standIns).address());
  }

  /** Returns the address of each stand-in and of the control server by its name. */
  Map<String, InetSocketAddress> addresses() {
    return addresses;
  }

  private void startLog(InetSocketAddress address) throws StandInException {
    LogStandIn log = new LogStandIn(group, address, WALL_CLOCK_MILLIS);
    standIns.add(log);
    addresses.put("log", log.address());
  }

  private void startExecutors(InetSocketAddress first) throws StandInException {
    int journalLimit = sizes.journalLimit();
    var executors =
        new ExecutorStandIns(
            group,
            first,
            sizes.executors(),
            sizes.executorLimits(),
            MONOTONIC_CLOCK_MILLIS,
            journalLimit);
    standIns.add(executors);
    addresses.putAll(executors.addresses());
  }

  private void startWorkers(InetSocketAddress first) throws StandInException {
    int journalLimit = sizes.journalLimit();
    var workers =
        new WorkerStandIns(group, first, sizes.fleet(), MONOTONIC_CLOCK_MILLIS, journalLimit);
    standIns.add(workers);
    addresses.putAll(workers.addresses());
  }

  /** Starts the users' platform: its store with a configuration, and its executors. */
  private void startPlatform(InetSocketAddress address) throws StandInException {
    StoreStandIn store = new StoreStandIn(group, address, MONOTONIC_CLOCK_MILLIS);
    InetSocketAddress anyPort = new InetSocketAddress(address.getAddress(), 0);
    FleetStandIn.Counts counts = new FleetStandIn.Counts(sizes.executors(), sizes.smallExecutors());
    standIns.add(store);
    FleetStandIn fleet =
        new FleetStandIn(
            group, anyPort, counts, MONOTONIC_CLOCK_MILLIS, store, sizes.journalLimit());
    standIns.add(fleet);
    MachineStandIn machines =
        new MachineStandIn(
            group, anyPort, MONOTONIC_CLOCK_MILLIS, store, fleet, sizes.journalLimit());
    standIns.add(machines);
    AdviceStandIn advice = new AdviceStandIn(group, anyPort, MONOTONIC_CLOCK_MILLIS, fleet);
    standIns.add(advice);
    ExecutorLinks links = new ExecutorLinks(anyPort, sizes.vms(), store, fleet);
    standIns.add(links);
    for (int vm = 0; vm < sizes.vms(); vm++) {
      addresses.put("store-" + vm, links.stores().get(vm));
    }
    store.publishConfiguration();
    addresses.put("store", store.address());
    addresses.put("machines", machines.address());
    addresses.put("advice", advice.address());
  }

  /** Starts the list of VMs, which contains the executors and workers of this process. */
  private void startList(InetSocketAddress address) throws StandInException {
    List<Member> members = new ArrayList<>();
    addresses.forEach(
        (name, at) -> {
          String role = name.replaceFirst("-\\d+$", "");
          if (!role.equals(name)) {
            String host = at.getAddress().getHostAddress();
            members.add(new Member(name, role, "live", host, at.getPort()));
          }
        });
    ListStandIn list = new ListStandIn(group, address, WALL_CLOCK_MILLIS, members);
    standIns.add(list);
    addresses.put("list", list.address());
  }
}
