package org.fescuehook.net.executor;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * A request as it is sent to an executor.
 *
 * @param uri path and query for the executor
 * @param headers end-to-end headers of the caller, without Content-Length
 * @param body whole body; each dispatch writes a duplicate, and the owner of the body releases it
 * @param token unique to this dispatch
 * @param repeatable whether the request may safely be run more than once
 * @param deadlineNanos time until which an answer is awaited, on the scale of {@link
 *     System#nanoTime()}
 * @param progressMillis time within which the answer must begin on a pooled connection; 0 for no
 *     limit
 * @param probe whether the request only checks that the connection is alive; it states a deadline
 *     that has passed, so that the executor refuses it as not run
 * @param maxRecordedBytes size of the largest answer body to include in the result; 0 for none
 */
public record ExecutorRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    ByteBuf body,
    OrganisationId organisation,
    String token,
    boolean repeatable,
    long deadlineNanos,
    long progressMillis,
    boolean probe,
    int maxRecordedBytes) {

  private static final OrganisationId PROBES = new OrganisationId("probe");

  /** Returns a probe, which an executor answers without running anything. */
  static ExecutorRequest probe(String token, long deadlineNanos) {
    return new ExecutorRequest(
        HttpMethod.OPTIONS,
        "/",
        EmptyHttpHeaders.INSTANCE,
        Unpooled.EMPTY_BUFFER,
        PROBES,
        token,
        true,
        deadlineNanos,
        0,
        true,
        0);
  }
}
