package org.fescuehook.net.executor;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.fescuehook.model.organisation.OrganisationId;

/**
 * A request as it goes to an executor.
 *
 * @param uri path and query at the executor
 * @param headers end-to-end headers of the caller, without a length
 * @param body whole body; each dispatch writes a duplicate, the owner releases it
 * @param token unique for this dispatch
 * @param repeatable whether running it twice does no harm
 * @param deadlineNanos time by {@link System#nanoTime()} until which an answer is awaited
 * @param progressMillis longest time without a sign of life on a pooled connection; 0 for none
 * @param probe whether it only asks for a sign of life: it states a passed deadline, so that the
 *     executor refuses it as not run
 * @param keepBytes largest body of an answer to hand back with the end; 0 to hand back none
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
    int keepBytes) {

  private static final OrganisationId PROBES = new OrganisationId("probe");

  /** Returns a request that an executor answers without running anything. */
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
