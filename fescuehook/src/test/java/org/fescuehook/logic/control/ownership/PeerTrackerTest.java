package org.fescuehook.logic.control.ownership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescuehook.logic.control.DecisionContext;
import org.fescuehook.logic.platform.MemberList;
import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

class PeerTrackerTest {

  private static final Duration RETENTION = Duration.ofSeconds(75);
  private static final VmId SELF = new VmId("vm-1");
  private static final VmId OTHER = new VmId("vm-2");

  private final PeerTracker tracker = new PeerTracker(SELF);

  private static DecisionContext at(long seconds) {
    return new DecisionContext(Duration.ofSeconds(seconds).toNanos(), 0);
  }

  private void listed(long seconds, VmId... vms) {
    List<MemberList.Member> members =
        Arrays.stream(vms)
            .map(
                vm ->
                    new MemberList.Member(vm.value(), MemberList.Role.ENTRY, false, "127.0.0.1", 1))
            .toList();
    tracker.listed(members, at(seconds));
  }

  /**
   * Guards against a replacement VM that gets no slots for 75 s because the VM that it replaces was
   * removed from the list without being listed as leaving, and is assumed to still use its share.
   */
  @Test
  void aVmThatAnnouncedItsStopIsForgottenOnceItIsSilentAndUnlisted() {
    listed(0, SELF, OTHER);
    tracker.heard(Set.of(OTHER), Set.of(OTHER), Set.of(OTHER), at(1));
    tracker.peersApplied(Map.of(OTHER, 5L));
    listed(2, SELF);
    assertFalse(tracker.allApplied(9, RETENTION, at(2)), "it is still heard");

    tracker.heard(Set.of(), Set.of(), Set.of(), at(3));
    listed(4, SELF);

    assertTrue(tracker.allApplied(9, RETENTION, at(4)));
  }

  @Test
  void aVmThatFellSilentUnannouncedMayStillRun() {
    listed(0, SELF, OTHER);
    tracker.heard(Set.of(OTHER), Set.of(OTHER), Set.of(), at(1));
    tracker.heard(Set.of(), Set.of(), Set.of(), at(3));
    listed(4, SELF);

    assertFalse(tracker.allApplied(9, RETENTION, at(4)));
    assertTrue(tracker.allApplied(9, RETENTION, at(90)));
  }

  @Test
  void aVmRestartedAfterAnAnnouncedStopMayStillRun() {
    listed(0, SELF, OTHER);
    tracker.heard(Set.of(OTHER), Set.of(OTHER), Set.of(OTHER), at(1));
    tracker.heard(Set.of(), Set.of(), Set.of(), at(3));
    tracker.heard(Set.of(OTHER), Set.of(OTHER), Set.of(), at(5));
    tracker.heard(Set.of(), Set.of(), Set.of(), at(8));
    listed(9, SELF);

    assertFalse(tracker.allApplied(9, RETENTION, at(9)));
  }
}
