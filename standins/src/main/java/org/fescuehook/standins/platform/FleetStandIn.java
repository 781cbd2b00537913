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

/** Stand-in for the platform's executors, which write their entries into the store. */
public final class FleetStandIn extends StandIn<FleetFaults> {

  /**
   * Interval at which ended runs and expired leases are detected. Callers don't notice this delay:
   * they know an executor's clock less precisely.
   */
  private static final long ADVANCE_INTERVAL_MILLIS = 10;

  private static final long HEARTBEAT_INTERVAL_MILLIS = 1500;

  private final List<FleetMember> members = new ArrayList<>();
  private final Journal<RunEvent> journal;

  /**
   * Numbers of executors.
   *
   * @param usual executors of the usual service
   * @param small executors of the small service, which have the numbers after these; if there are
   *     any, all executors have an accelerator for each task
   */
  public record Counts(int usual, int small) {}

  /**
   * Starts the executors and their heartbeats.
   *
   * @param clock returns monotonic milliseconds
   * @param store store that receives the executors' entries
   */
  public FleetStandIn(
      EventLoopGroup group,
      InetSocketAddress address,
      Counts counts,
      LongSupplier clock,
      StoreStandIn store,
      int journalLimit)
      throws StandInException {
    super("fleet", FleetFaults.class);
    this.journal = new Journal<>(journalLimit);
    Gangs gangs = new Gangs();
    int accelerators = counts.small() > 0 ? FleetMember.SLOTS : 0;
    for (int i = 1; i <= counts.usual() + counts.small(); i++) {
      String service =
          i <= counts.usual() ? PlatformConfiguration.SERVICE : PlatformConfiguration.SMALL_SERVICE;
      members.add(
          new FleetMember(
              group,
              address,
              i,
              new FleetMember.Service(service, accelerators),
              clock,
              store,
              journal::add,
              gangs));
    }
    var loop = group.next();
    loop.scheduleWithFixedDelay(
        () -> members.forEach(FleetMember::advance),
        0,
        ADVANCE_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        () -> members.forEach(FleetMember::heartbeat),
        0,
        HEARTBEAT_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Returns the labels of an executor, which all its incarnations have: its kind and its rack. */
  public static List<String> labelsOfExecutor(int number) {
    return FleetMember.labels(number);
  }

  /** Returns the zone of an executor, which all its incarnations are in. */
  public static String zoneOfExecutor(int number) {
    return FleetMember.zone(number);
  }

  /** Returns the names of all zones. */
  public static List<String> zones() {
    return FleetMember.zones();
  }

  /** Returns the executors. */
  List<FleetMember> members() {
    return List.copyOf(members);
  }

  @Override
  public void apply(FleetFaults faults) {
    for (int i = 0; i < members.size(); i++) {
      int number = i + 1;
      members
          .get(i)
          .setOrderLoss(faults.losses().stream().filter(l -> l.executor() == number).findFirst());
      members.get(i).setFailing(faults.failing().contains(number));
    }
    faults.crash().forEach(number -> members.get(number - 1).crash());
  }

  @Override
  public List<RunEvent> journal() {
    return journal.entries();
  }

  /** Returns how many journal entries were overwritten. */
  @Override
  public Object stats() {
    return journal.dropped();
  }

  @Override
  protected List<StandInServer> servers() {
    return members.stream().map(FleetMember::server).toList();
  }
}
