package org.fescuehook.logic.batch.executor;

/** Counts the orders to one executor, polls among them, that were not answered in a row. */
public final class UnansweredOrders {

  private final ConnectTimeouts connectTimeouts = new ConnectTimeouts();
  private int count;

  /** Returns how many orders were not answered since the last answer. */
  int count() {
    return count;
  }

  /**
   * Tells whether a connection to the executor has timed out within the last seconds, even if
   * others have opened since.
   */
  public boolean connectsPoorly(long nowNanos) {
    return connectTimeouts.lossy(nowNanos);
  }

  /** Returns the connections for such orders that timed out. */
  ConnectTimeouts connectTimeouts() {
    return connectTimeouts;
  }

  /** Records that an order was answered. */
  void answered() {
    count = 0;
    connectTimeouts.answered();
  }

  /** Records that an order was not answered. */
  void unanswered() {
    count++;
  }
}
