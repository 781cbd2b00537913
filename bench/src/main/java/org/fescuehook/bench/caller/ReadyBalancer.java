package org.fescuehook.bench.caller;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.fescuehook.bench.cluster.EntryVm;

/** Names ready entry VMs in turn; it probes them now and then, as the platform's balancer does. */
public final class ReadyBalancer implements Supplier<Optional<InetSocketAddress>>, AutoCloseable {
  private static final long PROBE_MILLIS = 100;

  private final List<EntryVm> vms;
  private final AtomicInteger turn = new AtomicInteger();
  private final Thread prober = Thread.ofVirtual().name("balancer").unstarted(this::probe);
  private volatile List<InetSocketAddress> ready;

  /** Starts to probe; all VMs count as ready at first. */
  public ReadyBalancer(List<EntryVm> vms) {
    this.vms = List.copyOf(vms);
    this.ready = vms.stream().map(EntryVm::service).toList();
    prober.start();
  }

  @Override
  public Optional<InetSocketAddress> get() {
    List<InetSocketAddress> now = ready;
    if (now.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(now.get(Math.floorMod(turn.getAndIncrement(), now.size())));
  }

  @Override
  public void close() {
    prober.interrupt();
  }

  private void probe() {
    try {
      while (true) {
        Thread.sleep(PROBE_MILLIS);
        ready = probeAll();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<InetSocketAddress> probeAll() throws InterruptedException {
    List<InetSocketAddress> found = new ArrayList<>();
    for (EntryVm vm : vms) {
      if (vm.ready()) {
        found.add(vm.service());
      }
    }
    return List.copyOf(found);
  }
}
