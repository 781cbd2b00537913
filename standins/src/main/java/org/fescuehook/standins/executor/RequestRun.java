package org.fescuehook.standins.executor;

/**
 * A request that an executor ran.
 *
 * @param executor name of the executor
 * @param token the dispatch's token, empty if none was sent
 * @param requestId the caller's own id, empty if none was sent
 * @param organisation whose request it is
 * @param path path it asked for
 * @param start when it began, by the machine's monotonic clock, in milliseconds
 * @param end when it ended; 0 while it runs
 * @param concurrency how many requests the executor ran when it began, itself included
 */
public record RequestRun(
    String executor,
    String token,
    String requestId,
    String organisation,
    String path,
    long start,
    long end,
    int concurrency) {

  RequestRun ended(long at) {
    return new RequestRun(
        executor, token, requestId, organisation, path, start, at, concurrency);
  }
}
