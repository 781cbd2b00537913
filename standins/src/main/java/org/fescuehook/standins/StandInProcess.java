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
import org.fescuehook.standins.platform.FleetStandIn;
import org.fescuehook.standins.platform.StoreStandIn;
import org.fescuehook.standins.worker.WorkerStandIns;

/** All stand-ins of one process, and their control port. */
final class StandInProcess {
  private static final LongSupplier WALL = System::currentTimeMillis;
  private static final LongSupplier MONOTONIC = () -> System.nanoTime() / 1_000_000;

  private final EventLoopGroup group;
  private final Sizes sizes;
  private final List<StandIn<?>> standIns = new ArrayList<>();
  private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();

  /** What a process stands in for. */
  enum Kind {
    LOG,
    LIST,
    EXECUTORS,
    WORKERS,
    PLATFORM,
    ALL
  }

  /** How much of each is started. */
  record Sizes(
      int executors,
      ExecutorStandIns.Limits executorLimits,
      WorkerStandIns.Fleet fleet,
      int journalLimit) {}

  /** Starts stand-ins; with all in one process, only the log has the port that is given. */
  StandInProcess(EventLoopGroup group, Kind kind, InetSocketAddress first, Sizes sizes)
      throws StandInException {
    this.group = group;
    this.sizes = sizes;
    InetSocketAddress any = new InetSocketAddress(first.getAddress(), 0);
    switch (kind) {
      case LOG -> startLog(first);
      case LIST -> startList(first);
      case EXECUTORS -> startExecutors(first);
      case WORKERS -> startWorkers(first);
      case PLATFORM -> startPlatform(first);
      case ALL -> {
        startLog(first);
        startExecutors(any);
        startWorkers(any);
        startList(any);
      }
    }
    addresses.put("control", new ControlServer(group, any, standIns).address());
  }

  /** Returns where everything listens, by name. */
  Map<String, InetSocketAddress> addresses() {
    return addresses;
  }

  private void startLog(InetSocketAddress address) throws StandInException {
    LogStandIn log = new LogStandIn(group, address, WALL);
    standIns.add(log);
    addresses.put("log", log.address());
  }

  private void startExecutors(InetSocketAddress first) throws StandInException {
    int journalLimit = sizes.journalLimit();
    var executors =
        new ExecutorStandIns(
            group, first, sizes.executors(), sizes.executorLimits(), MONOTONIC, journalLimit);
    standIns.add(executors);
    addresses.putAll(executors.addresses());
  }

  private void startWorkers(InetSocketAddress first) throws StandInException {
    int journalLimit = sizes.journalLimit();
    var workers = new WorkerStandIns(group, first, sizes.fleet(), MONOTONIC, journalLimit);
    standIns.add(workers);
    addresses.putAll(workers.addresses());
  }

  /** Starts the users' platform: its store, its executors and a configuration. */
  private void startPlatform(InetSocketAddress address) throws StandInException {
    StoreStandIn store = new StoreStandIn(group, address, MONOTONIC);
    InetSocketAddress any = new InetSocketAddress(address.getAddress(), 0);
    int count = sizes.executors();
    standIns.add(store);
    standIns.add(new FleetStandIn(group, any, count, MONOTONIC, store, sizes.journalLimit()));
    store.publishConfiguration();
    addresses.put("store", store.address());
  }

  /** Starts the list with the executors and workers of this process on it. */
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
    ListStandIn list = new ListStandIn(group, address, WALL, members);
    standIns.add(list);
    addresses.put("list", list.address());
  }
}
