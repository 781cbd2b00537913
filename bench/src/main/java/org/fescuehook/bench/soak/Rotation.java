package org.fescuehook.bench.soak;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.stream.IntStream;
import org.fescuehook.bench.caller.CallerClient;
import org.fescuehook.bench.caller.CallerOutcome;
import org.fescuehook.bench.caller.CallerRequest;

/** Which VMs get new connections: those that do not miss two looks at their readiness on end. */
final class Rotation {

  private static final long LOOK_MILLIS = 1000;
  private static final int MOST_MISSES = 2;
  private static final CallerRequest LOOK =
      new CallerRequest("GET", "/-/readyz", Map.of(), new byte[0], LOOK_MILLIS / 2);

  private final CallerClient client;
  private final List<InetSocketAddress> readiness;
  private final ScheduledExecutorService timer;
  private final AtomicIntegerArray misses;

  Rotation(CallerClient client, List<InetSocketAddress> readiness, ScheduledExecutorService timer) {
    this.client = client;
    this.readiness = readiness;
    this.timer = timer;
    this.misses = new AtomicIntegerArray(readiness.size());
    IntStream.range(0, readiness.size()).forEach(vm -> misses.set(vm, MOST_MISSES));
  }

  void start() {
    timer.scheduleAtFixedRate(this::lookAtAll, 0, LOOK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void lookAtAll() {
    for (int i = 0; i < readiness.size(); i++) {
      int vm = i;
      client
          .send(readiness.get(vm), LOOK)
          .thenAccept(
              outcome -> {
                boolean ready =
                    outcome instanceof CallerOutcome.Answered answer && answer.status() == 200;
                misses.updateAndGet(vm, missed -> ready ? 0 : missed + 1);
              });
    }
  }

  /** Returns the numbers of the VMs that get new connections. */
  List<Integer> ready() {
    return IntStream.range(0, readiness.size())
        .filter(vm -> misses.get(vm) < MOST_MISSES)
        .boxed()
        .toList();
  }

  /** Draws a VM for a new connection; with fewer than half of them ready, of all. */
  int draw(Random random) {
    List<Integer> ready = ready();
    return 2 * ready.size() < readiness.size()
        ? random.nextInt(readiness.size())
        : ready.get(random.nextInt(ready.size()));
  }
}
