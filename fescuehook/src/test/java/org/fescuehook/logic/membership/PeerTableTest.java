package org.fescuehook.logic.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

class PeerTableTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final VmId A = new VmId("a");
  private static final VmId B = new VmId("b");

  @Test
  void aPeerIsAliveUntilItsHeartbeatIsOlderThanTheTimeout() {
    PeerTable table = PeerTable.EMPTY.withHeartbeat(report(A, 1, true), 0);

    assertEquals(Set.of(A), table.alive(TIMEOUT, seconds(2)));
    assertEquals(Set.of(), table.alive(TIMEOUT, seconds(2) + 1));
  }

  @Test
  void onlyPeersThatReportAReachableLogAreListedAsReachingIt() {
    PeerTable table =
        PeerTable.EMPTY.withHeartbeat(report(A, 1, true), 0).withHeartbeat(report(B, 1, false), 0);

    assertEquals(Set.of(A, B), table.alive(TIMEOUT, 0));
    assertEquals(Set.of(A), table.reachingLog(TIMEOUT, 0));
  }

  @Test
  void aNewerHeartbeatReplacesAnOlderOne() {
    PeerTable table =
        PeerTable.EMPTY.withHeartbeat(report(A, 1, true), 0).withHeartbeat(report(A, 1, false), 1);

    assertEquals(Set.of(), table.reachingLog(TIMEOUT, 1));
  }

  @Test
  void thePeerWithTheHighestRevisionAboveTheGivenOneIsAhead() {
    PeerTable table =
        PeerTable.EMPTY.withHeartbeat(report(A, 5, true), 0).withHeartbeat(report(B, 7, true), 0);

    assertEquals(Optional.of(B), table.ahead(4, TIMEOUT, 0).map(PeerReport::vm));
    assertEquals(Optional.empty(), table.ahead(7, TIMEOUT, 0));
  }

  @Test
  void aPeerWithoutRecentHeartbeatIsRemoved() {
    PeerTable table =
        PeerTable.EMPTY
            .withHeartbeat(report(A, 1, true), 0)
            .withHeartbeat(report(B, 1, true), seconds(20));

    PeerTable later = table.withoutSilent(Duration.ofSeconds(10), seconds(20));

    assertEquals(Set.of(B), later.alive(Duration.ofHours(1), seconds(20)));
  }

  private static PeerReport report(VmId vm, long revision, boolean logReachable) {
    return new PeerReport(vm, "first", 0, revision, logReachable, false);
  }

  private static long seconds(long seconds) {
    return Duration.ofSeconds(seconds).toNanos();
  }
}
