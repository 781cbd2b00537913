package org.fescuehook.logic.dispatch;

/** Limits retries to a fraction of the requests accepted in the last ten seconds. */
final class RetryBudget {
  private static final int BUCKETS = 10;
  private static final long BUCKET_MILLIS = 1000;

  /**
   * Number of retries always allowed in the window, so that a system with little traffic can retry
   * at all.
   */
  static final int MIN_RETRIES = 10;

  private final double share;
  private final long[] requests = new long[BUCKETS];
  private final long[] retries = new long[BUCKETS];
  private long currentBucket = Long.MIN_VALUE;

  RetryBudget(double share) {
    this.share = share;
  }

  /** Records a newly accepted request. */
  void requestAccepted(long nowMillis) {
    advance(nowMillis);
    requests[index()]++;
  }

  /** Consumes one retry; returns false if the budget is exhausted. */
  boolean tryConsume(long nowMillis) {
    advance(nowMillis);
    if (sum(retries) >= MIN_RETRIES + share * sum(requests)) {
      return false;
    }
    retries[index()]++;
    return true;
  }

  private int index() {
    return (int) Math.floorMod(currentBucket, (long) BUCKETS);
  }

  private void advance(long nowMillis) {
    long bucket = Math.floorDiv(nowMillis, BUCKET_MILLIS);
    if (currentBucket == Long.MIN_VALUE) {
      currentBucket = bucket;
      return;
    }
    long steps = Math.min(BUCKETS, bucket - currentBucket);
    for (long i = 0; i < steps; i++) {
      currentBucket++;
      requests[index()] = 0;
      retries[index()] = 0;
    }
    currentBucket = Math.max(currentBucket, bucket);
  }

  private static long sum(long[] values) {
    long sum = 0;
    for (long value : values) {
      sum += value;
    }
    return sum;
  }
}
