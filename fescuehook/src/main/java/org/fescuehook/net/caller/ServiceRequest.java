package org.fescuehook.net.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.fescuehook.logic.dispatch.RequestAttributes;
import org.fescuehook.model.job.JobId;

/** What a caller asks, after its headers and path were checked. */
sealed interface ServiceRequest {

  /**
   * A short request for an executor.
   *
   * @param uri path and query at the executor
   * @param headers end-to-end headers to pass on
   */
  record Pass(
      RequestAttributes facts, HttpMethod method, String uri, HttpHeaders headers, ByteBuf body)
      implements ServiceRequest {}

  /** A submission of a job. */
  record Submit(byte[] json, java.util.Optional<String> requestId) implements ServiceRequest {}

  /** A question for a job's state. */
  record Show(JobId job, long waitMillis) implements ServiceRequest {}

  /** A cancellation of a job. */
  record Cancel(JobId job) implements ServiceRequest {}
}
