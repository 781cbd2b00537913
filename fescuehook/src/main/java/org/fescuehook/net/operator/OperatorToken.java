package org.fescuehook.net.operator;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;

/** Checks the bearer token of operators, if one is set. */
final class OperatorToken {

  private static final String SCHEME = "Bearer ";

  private final Optional<byte[]> digest;

  OperatorToken(Optional<String> token) {
    this.digest = token.map(OperatorToken::digest);
  }

  /**
   * Returns whether an {@code Authorization} header gives access. Compares digests in constant
   * time, so that the time reveals neither the length of the token nor where a wrong one differs.
   */
  boolean admits(Optional<String> authorization) {
    if (digest.isEmpty()) {
      return true;
    }
    String given =
        authorization
            .filter(header -> header.startsWith(SCHEME))
            .map(header -> header.substring(SCHEME.length()))
            .orElse("");
    return MessageDigest.isEqual(digest.get(), digest(given));
  }

  private static byte[] digest(String token) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
