package org.fescuehook.standins.platform;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.fescuehook.standins.Journal;
import org.fescuehook.standins.StandIn;
import org.fescuehook.standins.StandInException;
import org.fescuehook.standins.http.StandInServer;

/** The platform's executors, which write their entries into the store. */
public final class FleetStandIn extends StandIn<FleetFaults> {

  /** Longest delay of an end or a lapse; an executor's clock is coarser than that to a caller. */
  private static final long STEP_MILLIS = 10;

  private static final long HEARTBEAT_MILLIS = 1500;

  private final List<FleetMember> members = new ArrayList<>();
  private final Journal<RunEvent> journal;

  /**
   * Starts executors and their entries.
   *
   * @param clock gives monotonic milliseconds
   * @param store where the entries go
   */
  public FleetStandIn(
      EventLoopGroup group,
      InetSocketAddress address,
      int count,
      LongSupplier clock,
      StoreStandIn store,
      int journalLimit)
      throws StandInException {
    super("fleet", FleetFaults.class);
    this.journal = new Journal<>(journalLimit);
    for (int i = 1; i <= count; i++) {
      members.add(new FleetMember(group, address, i, clock, store, journal::add));
    }
    var loop = group.next();
    loop.scheduleWithFixedDelay(
        () -> members.forEach(FleetMember::advance), 0, STEP_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        () -> members.forEach(FleetMember::heartbeat), 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void apply(FleetFaults faults) {
    for (int i = 0; i < members.size(); i++) {
      int number = i + 1;
      members.get(i).lose(faults.losses().stream().filter(l -> l.executor() == number).findFirst());
    }
    faults.crash().forEach(number -> members.get(number - 1).crash());
  }

  @Override
  public List<RunEvent> journal() {
    return journal.entries();
  }

  /** Returns how many entries of the journal were overwritten. */
  @Override
  public Object stats() {
    return journal.dropped();
  }

  @Override
  protected List<StandInServer> servers() {
    return members.stream().map(FleetMember::server).toList();
  }
}
