package org.fescuehook.standins.executor;

/**
 * A request that an executor ran. Texts are empty where nothing was sent.
 *
 * @param executor name of the executor
 * @param token the dispatch's token
 * @param requestId the caller's own id
 * @param organisation whose request it is
 * @param path path it asked for
 * @param start when it began, in monotonic milliseconds
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
    return new RequestRun(executor, token, requestId, organisation, path, start, at, concurrency);
  }
}
