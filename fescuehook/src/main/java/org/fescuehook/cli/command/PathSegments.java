package org.fescuehook.cli.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Encodes text from the command line for the path of a URL. */
final class PathSegments {

  private PathSegments() {}

  static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
