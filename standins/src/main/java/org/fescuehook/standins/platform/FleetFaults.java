package org.fescuehook.standins.platform;

import java.util.List;

/**
 * Faults of the platform's executors.
 *
 * @param crash numbers of the executors that crash now; each restarts at once, under the same id or
 *     a new one
 * @param losses executors some of whose orders get no response
 * @param failing numbers of the executors that fail every run that they start
 */
public record FleetFaults(List<Integer> crash, List<OrderLoss> losses, List<Integer> failing) {

  /**
   * Share of the orders to an executor that get no response.
   *
   * @param executor number of the executor
   * @param permille how many of a thousand orders are affected
   * @param late whether these orders pass all checks and are executed seconds later; if not, they
   *     are never executed
   */
  public record OrderLoss(int executor, int permille, boolean late) {}
}
