package org.fescuehook.net.caller;

import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Runs numbered tasks on several threads and collects their failures. */
final class Concurrently {
  /** A task that is run once for each number. */
  interface Work {
    void run(int number) throws Exception;
  }

  private Concurrently() {}

  static void run(int count, int threads, Work work, List<Throwable> faults) throws Exception {
    try (ExecutorService pool = Executors.newFixedThreadPool(threads)) {
      for (int i = 0; i < count; i++) {
        int number = i;
        pool.execute(
            () -> {
              try {
                work.run(number);
              } catch (Exception | AssertionError e) {
                faults.add(e);
              }
            });
      }
      pool.shutdown();
      pool.awaitTermination(60, TimeUnit.SECONDS);
    }
  }
}
