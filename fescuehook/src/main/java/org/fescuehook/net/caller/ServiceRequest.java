package org.fescuehook.net.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.fescuehook.logic.dispatch.RequestAttributes;
import org.fescuehook.model.job.JobId;

/** A caller's request whose path and headers have been validated. */
sealed interface ServiceRequest {

  /**
   * A short request to forward to an executor.
   *
   * @param uri path and query for the executor
   * @param headers end-to-end headers to forward
   */
  record Forward(
      RequestAttributes attributes,
      HttpMethod method,
      String uri,
      HttpHeaders headers,
      ByteBuf body)
      implements ServiceRequest {}

  /** A submission of a job. */
  record Submit(byte[] json, java.util.Optional<String> requestId) implements ServiceRequest {}

  /** A query for a job's state, answered after at most {@code waitMillis}. */
  record Show(JobId job, long waitMillis) implements ServiceRequest {}

  /** A cancellation of a job. */
  record Cancel(JobId job) implements ServiceRequest {}
}
