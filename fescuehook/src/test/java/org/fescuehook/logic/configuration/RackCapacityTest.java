package org.fescuehook.logic.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.fescuehook.model.fleet.Capacity;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.RackId;
import org.fescuehook.model.fleet.Worker;
import org.fescuehook.model.fleet.WorkerId;
import org.junit.jupiter.api.Test;

class RackCapacityTest {

  private static final Capacity EIGHT = new Capacity(8, 64, 1024);
  private static final Capacity FOUR = new Capacity(4, 1, 1);

  @Test
  void smallMembersLeaveWholeWorkersFree() {
    RackCapacity racks = new RackCapacity(List.of(worker("w-1", "r1"), worker("w-2", "r1")));

    assertTrue(racks.allocate(2, FOUR, 1));

    assertEquals(1, racks.largestFit(new Capacity(8, 1, 1), 0));
  }

  @Test
  void smallShapesLeaveWholeRacksFree() {
    RackCapacity racks = new RackCapacity(List.of(worker("w-1", "r1"), worker("w-2", "r2")));

    assertTrue(racks.allocate(1, FOUR, 1));
    assertTrue(racks.allocate(1, FOUR, 1));

    assertEquals(2, racks.largestFit(FOUR, 1));
  }

  private static Worker worker(String name, String rack) {
    return new Worker(
        new WorkerId(name),
        new InetSocketAddress("10.0.0.1", 7200),
        new FailureDomain("a"),
        new RackId(rack),
        EIGHT);
  }
}
