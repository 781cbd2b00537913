package org.fescuehook.bench.caller;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescuehook.bench.cluster.EntryVm;

/** Names ready entry VMs in turn; it probes them now and then, as the platform's balancer does. */
public final class ReadyBalancer implements Balancer {
  private static final long PROBE_MILLIS = 100;

  private final List<EntryVm> vms;
  private final ScheduledExecutorService prober = Executors.newSingleThreadScheduledExecutor();
  private List<InetSocketAddress> ready;
  private int turn;

  /** Starts to probe; all VMs count as ready at first. */
  public ReadyBalancer(List<EntryVm> vms) {
    this.vms = List.copyOf(vms);
    this.ready = vms.stream().map(EntryVm::service).toList();
    prober.scheduleWithFixedDelay(this::probe, PROBE_MILLIS, PROBE_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public synchronized Optional<InetSocketAddress> next() throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PROBE_MILLIS);
    while (ready.isEmpty()) {
      long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
      if (left <= 0) {
        return Optional.empty();
      }
      wait(left);
    }
    turn = (turn + 1) % ready.size();
    return Optional.of(ready.get(turn));
  }

  /** Stops to probe. */
  @Override
  public void close() {
    prober.shutdownNow();
  }

  private void probe() {
    List<InetSocketAddress> found = new ArrayList<>();
    try {
      for (EntryVm vm : vms) {
        if (vm.ready()) {
          found.add(vm.service());
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    replace(found);
  }

  private synchronized void replace(List<InetSocketAddress> found) {
    ready = List.copyOf(found);
    notifyAll();
  }
}
