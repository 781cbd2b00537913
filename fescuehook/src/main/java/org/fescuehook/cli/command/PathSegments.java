package org.fescuehook.cli.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Percent-encodes text from the command line as a segment of a URL path. */
final class PathSegments {

  private PathSegments() {}

  static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
