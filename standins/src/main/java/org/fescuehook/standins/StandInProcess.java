package org.fescuehook.standins;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescuehook.standins.StandInOptions.Kind;
import org.fescuehook.standins.control.ControlServer;
import org.fescuehook.standins.executor.ExecutorLimits;
import org.fescuehook.standins.executor.ExecutorStandIns;
import org.fescuehook.standins.list.ListStandIn;
import org.fescuehook.standins.list.Member;
import org.fescuehook.standins.log.LogStandIn;
import org.fescuehook.standins.worker.Resources;
import org.fescuehook.standins.worker.WorkerCapacity;
import org.fescuehook.standins.worker.WorkerStandIns;

/** All stand-ins of one process and their control port. */
final class StandInProcess implements AutoCloseable {
  private final EventLoopGroup group;
  private final StandInOptions options;
  private final List<StandIn> standIns = new ArrayList<>();
  private final Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
  private final ControlServer control;

  StandInProcess(EventLoopGroup group, StandInOptions options, Kind kind) throws StandInException {
    this.group = group;
    this.options = options;
    boolean all = kind == Kind.ALL;
    if (all || kind == Kind.LOG) {
      startLog();
    }
    if (all || kind == Kind.EXECUTORS) {
      startExecutors();
    }
    if (all || kind == Kind.WORKERS) {
      startWorkers();
    }
    if (all || kind == Kind.LIST) {
      startList();
    }
    this.control = new ControlServer(group, address(0), standIns);
    addresses.put("control", control.address());
  }

  /** Returns where everything listens, by name. */
  Map<String, InetSocketAddress> addresses() {
    return addresses;
  }

  @Override
  public void close() {
    control.close();
    standIns.forEach(StandIn::close);
  }

  private void startLog() throws StandInException {
    LogStandIn log = new LogStandIn(group, address(options.port), Clock.systemUTC());
    standIns.add(log);
    addresses.put("log", log.address());
  }

  private void startExecutors() throws StandInException {
    ExecutorStandIns executors =
        new ExecutorStandIns(
            group,
            address(portAfterLog()),
            options.executors,
            new ExecutorLimits(options.slots, options.connections),
            MonotonicClock.system(),
            options.journal);
    standIns.add(executors);
    addresses.putAll(executors.addresses());
  }

  private void startWorkers() throws StandInException {
    Resources total =
        new Resources(options.accelerators, options.cores, options.memoryMegabytes);
    WorkerStandIns workers =
        new WorkerStandIns(
            group,
            address(portAfterLog()),
            new WorkerStandIns.Names(options.firstWorker, options.workers),
            new WorkerCapacity(total, options.usageLagMs),
            MonotonicClock.system(),
            options.journal);
    standIns.add(workers);
    addresses.putAll(workers.addresses());
  }

  private void startList() throws StandInException {
    List<Member> members = new ArrayList<>();
    addresses.forEach((name, address) -> addMember(members, name, address));
    ListStandIn list =
        new ListStandIn(group, address(portAfterLog()), Clock.systemUTC(), members);
    standIns.add(list);
    addresses.put("list", list.address());
  }

  private static void addMember(List<Member> members, String name, InetSocketAddress address) {
    int dash = name.lastIndexOf('-');
    if (dash > 0) {
      String host = address.getAddress().getHostAddress();
      members.add(new Member(name, name.substring(0, dash), "live", host, address.getPort()));
    }
  }

  /** With all in one process only the log has the port that was asked for. */
  private int portAfterLog() {
    return addresses.isEmpty() ? options.port : 0;
  }

  private InetSocketAddress address(int port) {
    return new InetSocketAddress(options.host, port);
  }
}
