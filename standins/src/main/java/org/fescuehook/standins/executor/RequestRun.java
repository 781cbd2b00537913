package org.fescuehook.standins.executor;

/**
 * A request that an executor ran. The value of a header that was not sent is empty.
 *
 * @param executor name of the executor
 * @param token token of the dispatch
 * @param requestId request id that the caller chose
 * @param organisation organisation of the caller
 * @param path path of the request
 * @param start start of the run, in monotonic milliseconds
 * @param end end of the run, in monotonic milliseconds; 0 while it runs
 * @param concurrency number of requests running on the executor at the start, including this one
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
