package org.fescuehook.logic.control.shares;

import java.util.List;
import java.util.SortedSet;
import org.fescuehook.model.fleet.Executor;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.SlotShare;
import org.fescuehook.wire.SlotShares;

/**
 * Divides each executor's slots and connections evenly over the entry VMs. The remainders of the
 * divisions are assigned round-robin across all executors, so that every VM has about the same
 * total.
 */
final class SlotShareDivider {

  private SlotShareDivider() {}

  static SlotShares divide(List<Executor> executors, SortedSet<VmId> vms, int settleMillis) {
    List<VmId> names = List.copyOf(vms);
    SlotShares.Builder shares = SlotShares.newBuilder().setSettleMillis(settleMillis);
    int firstForSlots = 0;
    int firstForConnections = 0;
    for (Executor executor : executors) {
      for (int i = 0; i < names.size(); i++) {
        shares.addShares(
            SlotShare.newBuilder()
                .setExecutor(executor.id().value())
                .setVm(names.get(i).value())
                .setSlots(part(executor.slots(), names.size(), firstForSlots, i))
                .setConnections(
                    part(executor.connections(), names.size(), firstForConnections, i)));
      }
      firstForSlots = (firstForSlots + executor.slots()) % names.size();
      firstForConnections = (firstForConnections + executor.connections()) % names.size();
    }
    return shares.build();
  }

  private static int part(int amount, int parts, int first, int index) {
    int extra = Math.floorMod(index - first, parts) < amount % parts ? 1 : 0;
    return amount / parts + extra;
  }
}
