package org.fescuehook.bench.caller;

import java.util.Map;

/** A request of a caller; the path has its query. */
public record CallerRequest(
    String method, String path, Map<String, String> headers, byte[] body, long timeoutMillis) {}
