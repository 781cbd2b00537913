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

  private static final Duration MEMORY = Duration.ofSeconds(75);
  private static final VmId SELF = new VmId("vm-1");
  private static final VmId OTHER = new VmId("vm-2");

  private final PeerTracker watch = new PeerTracker(SELF);

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
    watch.listed(members, at(seconds));
  }

  /**
   * A VM was stopped and taken off the list without being shown as leaving. The one in its place
   * had no slots for 75 s, since the stopped VM might have lived on with its share.
   */
  @Test
  void aVmThatSaidItWasStoppingIsForgottenOnceItIsSilentAndUnlisted() {
    listed(0, SELF, OTHER);
    watch.heard(Set.of(OTHER), Set.of(OTHER), Set.of(OTHER), at(1));
    watch.folded(Map.of(OTHER, 5L));
    listed(2, SELF);
    assertFalse(watch.allFolded(9, MEMORY, at(2)), "it is still heard");

    watch.heard(Set.of(), Set.of(), Set.of(), at(3));
    listed(4, SELF);

    assertTrue(watch.allFolded(9, MEMORY, at(4)));
  }

  @Test
  void aVmThatFellSilentWithoutAWordMayLiveOn() {
    listed(0, SELF, OTHER);
    watch.heard(Set.of(OTHER), Set.of(OTHER), Set.of(), at(1));
    watch.heard(Set.of(), Set.of(), Set.of(), at(3));
    listed(4, SELF);

    assertFalse(watch.allFolded(9, MEMORY, at(4)));
    assertTrue(watch.allFolded(9, MEMORY, at(90)));
  }

  @Test
  void aVmThatWasStartedAgainAfterAStopMayLiveOn() {
    listed(0, SELF, OTHER);
    watch.heard(Set.of(OTHER), Set.of(OTHER), Set.of(OTHER), at(1));
    watch.heard(Set.of(), Set.of(), Set.of(), at(3));
    watch.heard(Set.of(OTHER), Set.of(OTHER), Set.of(), at(5));
    watch.heard(Set.of(), Set.of(), Set.of(), at(8));
    listed(9, SELF);

    assertFalse(watch.allFolded(9, MEMORY, at(9)));
  }
}
