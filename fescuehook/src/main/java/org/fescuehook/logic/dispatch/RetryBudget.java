package org.fescuehook.logic.dispatch;

/** Allows retries as a share of the requests of the last ten seconds. */
final class RetryBudget {
  private static final int BUCKETS = 10;
  private static final long BUCKET_MILLIS = 1000;

  /** Retries allowed in the window whatever the traffic, so that a quiet system retries at all. */
  static final int FLOOR = 10;

  private final double share;
  private final long[] requests = new long[BUCKETS];
  private final long[] retries = new long[BUCKETS];
  private long current = Long.MIN_VALUE;

  RetryBudget(double share) {
    this.share = share;
  }

  /** Notes a request that was accepted. */
  void accepted(long nowMillis) {
    advance(nowMillis);
    requests[index()]++;
  }

  /** Takes one retry; false if the budget is spent. */
  boolean take(long nowMillis) {
    advance(nowMillis);
    if (sum(retries) >= FLOOR + share * sum(requests)) {
      return false;
    }
    retries[index()]++;
    return true;
  }

  private int index() {
    return (int) Math.floorMod(current, (long) BUCKETS);
  }

  private void advance(long nowMillis) {
    long bucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
    if (current == Long.MIN_VALUE) {
      current = bucket;
      return;
    }
    long steps = Math.min(BUCKETS, bucket - current);
    for (long i = 0; i < steps; i++) {
      current++;
      requests[index()] = 0;
      retries[index()] = 0;
    }
    current = Math.max(current, bucket);
  }

  private static long sum(long[] values) {
    long sum = 0;
    for (long value : values) {
      sum += value;
    }
    return sum;
  }
}
