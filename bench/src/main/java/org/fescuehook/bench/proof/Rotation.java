package org.fescuehook.bench.proof;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescuehook.bench.caller.Balancer;
import org.fescuehook.bench.cluster.EntryVm;

/** Names VMs in turn without looking at them, so that requests also go to those that fail. */
final class Rotation implements Balancer {
  private final List<InetSocketAddress> addresses = new CopyOnWriteArrayList<>();
  private final AtomicInteger turn = new AtomicInteger();

  Rotation(List<EntryVm> vms) {
    vms.forEach(vm -> addresses.add(vm.service()));
  }

  /** Names a VM no more; at least one is to be left. */
  void remove(EntryVm vm) {
    addresses.remove(vm.service());
  }

  @Override
  public Optional<InetSocketAddress> next() {
    List<InetSocketAddress> present = List.copyOf(addresses);
    return Optional.of(present.get(Math.floorMod(turn.getAndIncrement(), present.size())));
  }

  @Override
  public void close() {}
}
