package org.fescuehook.net.caller;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescuehook.logic.dispatch.RequestAttributes;
import org.fescuehook.logic.dispatch.RequestDigest;
import org.fescuehook.model.job.JobId;
import org.fescuehook.model.organisation.OrganisationId;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.model.request.RefusalReason;
import org.fescuehook.net.executor.ExecutorHeaders;
import org.fescuehook.net.executor.HopByHopHeaders;

/** Parses a caller's request from its path, headers and body. */
final class ServiceRequestParser {
  private static final String REQUESTS = "/requests";
  private static final String JOBS = "/jobs";
  private static final int MAX_NAME_LENGTH = 128;

  private final RequestPreferences preferences;

  ServiceRequestParser(RequestPreferences preferences) {
    this.preferences = preferences;
  }

  /**
   * Parses a whole request.
   *
   * @param nowNanos time of the request's arrival, as {@link System#nanoTime()} returns it
   */
  ServiceRequest parse(HttpRequest head, ByteBuf body, long nowNanos)
      throws MalformedRequestException {
    String uri = head.uri();
    if (isBelow(uri, REQUESTS)) {
      return forward(head, body, nowNanos);
    }
    if (isBelow(uri, JOBS)) {
      return job(head, body);
    }
    throw new MalformedRequestException(RefusalReason.NOT_FOUND, "no such resource");
  }

  private static boolean isBelow(String uri, String root) {
    if (!uri.startsWith(root)) {
      return false;
    }
    return uri.length() == root.length() || "/?".indexOf(uri.charAt(root.length())) >= 0;
  }

  private ServiceRequest forward(HttpRequest head, ByteBuf body, long nowNanos)
      throws MalformedRequestException {
    HttpHeaders headers = head.headers();
    String rest = head.uri().substring(REQUESTS.length());
    String uri = rest.startsWith("/") ? rest : "/" + rest;
    Optional<String> requestId = single(headers, CallerHeaders.REQUEST_ID);
    String organisation =
        single(headers, ExecutorHeaders.ORGANISATION)
            .orElseThrow(() -> new MalformedRequestException("no Organisation header"));
    RequestDigest digest =
        requestId.isPresent() ? digest(head.method(), uri, body) : RequestDigest.NONE;
    RequestAttributes attributes =
        new RequestAttributes(
            new OrganisationId(organisation),
            requestId,
            digest,
            flag(headers, CallerHeaders.URGENT),
            flag(headers, ExecutorHeaders.REPEATABLE),
            TimeUnit.NANOSECONDS.toMillis(nowNanos) + timeoutMillis(headers));
    return new ServiceRequest.Forward(
        attributes, head.method(), uri, forwardedHeaders(headers), body);
  }

  private static HttpHeaders forwardedHeaders(HttpHeaders headers) {
    HttpHeaders forwarded = headers.copy();
    HopByHopHeaders.remove(forwarded);
    forwarded
        .remove(HttpHeaderNames.CONTENT_LENGTH)
        .remove(HttpHeaderNames.EXPECT)
        .remove(CallerHeaders.REQUEST_TIMEOUT)
        .remove(ExecutorHeaders.REQUEST_TOKEN)
        .remove(ExecutorHeaders.REQUEST_DEADLINE);
    return forwarded;
  }

  private long timeoutMillis(HttpHeaders headers) throws MalformedRequestException {
    Optional<String> given = single(headers, CallerHeaders.REQUEST_TIMEOUT);
    if (given.isEmpty()) {
      return preferences.defaultTimeout().toMillis();
    }
    long millis = number(given.get(), "Request-Timeout-Ms");
    if (millis < 1 || millis > preferences.maxTimeout().toMillis()) {
      throw new MalformedRequestException(
          "Request-Timeout-Ms must be 1 to " + preferences.maxTimeout().toMillis());
    }
    return millis;
  }

  private static long number(String text, String what) throws MalformedRequestException {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new MalformedRequestException(what + " is no whole number");
    }
  }

  private static boolean flag(HttpHeaders headers, CharSequence name)
      throws MalformedRequestException {
    String value = single(headers, name).orElse("false");
    return switch (value) {
      case "true" -> true;
      case "false" -> false;
      default -> throw new MalformedRequestException(name + " must be true or false");
    };
  }

  private static Optional<String> single(HttpHeaders headers, CharSequence name)
      throws MalformedRequestException {
    List<String> values = headers.getAll(name);
    if (values.isEmpty()) {
      return Optional.empty();
    }
    String value = values.getFirst().trim();
    if (values.size() > 1 || value.isEmpty() || value.length() > MAX_NAME_LENGTH) {
      throw new MalformedRequestException(
          name + " must be given once, with 1 to " + MAX_NAME_LENGTH + " characters");
    }
    return Optional.of(value);
  }

  private static RequestDigest digest(HttpMethod method, String uri, ByteBuf body) {
    MessageDigest sha;
    try {
      sha = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
    sha.update((method.name() + " " + uri + "\n").getBytes(StandardCharsets.UTF_8));
    sha.update(ByteBufUtil.getBytes(body));
    return new RequestDigest(ByteString.copyFrom(sha.digest()));
  }

  private ServiceRequest job(HttpRequest head, ByteBuf body) throws MalformedRequestException {
    QueryStringDecoder uri = new QueryStringDecoder(head.uri());
    String rest = uri.path().substring(JOBS.length());
    if (rest.isEmpty() || rest.equals("/")) {
      if (head.method().equals(HttpMethod.POST)) {
        return new ServiceRequest.Submit(
            ByteBufUtil.getBytes(body), single(head.headers(), CallerHeaders.REQUEST_ID));
      }
      throw new MalformedRequestException("jobs are submitted by POST /jobs");
    }
    String id = rest.substring(1);
    if (id.isBlank() || id.indexOf('/') >= 0 || id.length() > MAX_NAME_LENGTH) {
      throw new MalformedRequestException(RefusalReason.NOT_FOUND, "no such resource");
    }
    if (head.method().equals(HttpMethod.GET)) {
      return new ServiceRequest.Show(new JobId(id), waitMillis(uri));
    }
    if (head.method().equals(HttpMethod.DELETE)) {
      return new ServiceRequest.Cancel(new JobId(id));
    }
    throw new MalformedRequestException("a job is shown by GET and cancelled by DELETE");
  }

  private long waitMillis(QueryStringDecoder uri) throws MalformedRequestException {
    List<String> values = uri.parameters().getOrDefault("wait-ms", List.of("0"));
    long millis = number(values.getFirst(), "wait-ms");
    if (values.size() > 1 || millis < 0 || millis > preferences.maxTimeout().toMillis()) {
      throw new MalformedRequestException(
          "wait-ms must be 0 to " + preferences.maxTimeout().toMillis());
    }
    return millis;
  }
}
