package org.fescuehook.logic.batch.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.batch.store.UnreadableRecordException;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.batch.ExecutorReach;
import org.fescuehook.wire.batch.StoredOwner;
import org.junit.jupiter.api.Test;

class OwnerCodecTest {

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.ofLiteral("10.0.0.9"), port);
  }

  private static OwnerRecord heartbeat(Optional<ReachReport> reach) {
    return new OwnerRecord(
        OwnerRecord.Kind.HEARTBEAT, new VmId("vm-1"), "s", "10.0.0.1:7000", 5, 8, 750, 12, reach);
  }

  @Test
  void aHeartbeatKeepsWhichExecutorsItsOwnerReaches() throws UnreadableRecordException {
    ReachReport reach = new ReachReport(12, 20, List.of(address(1), address(2)), List.of());
    OwnerRecord record = heartbeat(Optional.of(reach));
    assertEquals(record, OwnerCodec.decode(OwnerCodec.encode(record), 8));
  }

  @Test
  void aHeartbeatOfAnOwnerThatReachesAllExecutorsReportsNone() throws UnreadableRecordException {
    OwnerRecord record = heartbeat(Optional.empty());
    assertEquals(record, OwnerCodec.decode(OwnerCodec.encode(record), 8));
  }

  /** Guards against an owner that counts as silent because of the address of an executor. */
  @Test
  void aHeartbeatWithAMalformedAddressIsRead() throws UnreadableRecordException {
    byte[] stored =
        StoredOwner.newBuilder()
            .setKind(StoredOwner.Kind.HEARTBEAT)
            .setVm("vm-1")
            .setEpoch(5)
            .setReach(
                ExecutorReach.newBuilder()
                    .setUnreachable(2)
                    .addUnreachableAddresses("executor:none")
                    .addUnreachableAddresses("10.0.0.9:1"))
            .build()
            .toByteArray();
    OwnerRecord read = OwnerCodec.decode(stored, 8);
    assertEquals(5, read.epoch());
    assertEquals(List.of(address(1)), read.reach().orElseThrow().unreachableSample());
  }
}
