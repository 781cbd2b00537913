package org.fescuehook.logic.ini;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Decodes UTF-8 and reports the location of the first malformed byte. */
final class Utf8Decoder {

  private static final String BYTE_ORDER_MARK = "\uFEFF";

  /**
   * Returns the text without a byte order mark.
   *
   * @throws FaultyInputException if the content is not UTF-8
   */
  String decode(IniSource source) throws FaultyInputException {
    ByteBuffer bytes = ByteBuffer.wrap(source.content());
    CharBuffer chars = CharBuffer.allocate(source.content().length + 1);
    CharsetDecoder decoder =
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPORT)
            .onUnmappableCharacter(CodingErrorAction.REPORT);
    CoderResult result = decoder.decode(bytes, chars, true);
    String text = chars.flip().toString();
    if (result.isError()) {
      throw new FaultyInputException(List.of(fault(source, bytes.position(), text)));
    }
    return text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
  }

  private static Fault fault(IniSource source, int position, String decoded) {
    int line = 1 + (int) decoded.chars().filter(c -> c == '\n').count();
    int column = decoded.length() - decoded.lastIndexOf('\n');
    String problem =
        "byte 0x%02x at column %d (offset %d) is not UTF-8"
            .formatted(source.content()[position] & 0xff, column, position);
    return new Fault(new SourceLocation(source.file(), line, "", ""), "", problem, "text in UTF-8");
  }
}
