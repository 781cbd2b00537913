package org.fescuehook.logic.dispatch;

import com.google.protobuf.ByteString;

/**
 * Digest of the content of a request.
 *
 * @param value SHA-256 digest, or empty
 */
public record RequestDigest(ByteString value) {

  /** No digest. */
  public static final RequestDigest NONE = new RequestDigest(ByteString.EMPTY);
}
