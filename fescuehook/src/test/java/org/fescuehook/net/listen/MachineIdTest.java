package org.fescuehook.net.listen;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.fescuehook.model.fleet.VmId;
import org.junit.jupiter.api.Test;

class MachineIdTest {

  /** Netty accepts 6 or 8 bytes in this notation, and logs a warning for any other id. */
  @Test
  void formatsAnIdAsEightBytesInNettysNotation() {
    String id = MachineId.of(new VmId("vm-1"));
    assertTrue(id.matches("([0-9a-f]{2}:){7}[0-9a-f]{2}"), id);
  }

  @Test
  void derivesTheSameIdForAVmAndDifferentIdsForOthers() {
    assertEquals(MachineId.of(new VmId("vm-1")), MachineId.of(new VmId("vm-1")));
    assertNotEquals(MachineId.of(new VmId("vm-1")), MachineId.of(new VmId("vm-2")));
  }
}
