import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON: objects as maps, arrays as lists, whole numbers as {@code Long}. */
final class Json {

  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) new Json(text).value();
  }

  static Map<String, Object> map(Object... namesAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return map;
  }

  static long number(Map<String, Object> object, String name) {
    return object.get(name) instanceof Number number ? number.longValue() : 0;
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    switch (value) {
      case null -> out.append("null");
      case String string -> writeString(string, out);
      case Map<?, ?> map -> {
        out.append('{');
        String separator = "";
        for (Map.Entry<?, ?> entry : map.entrySet()) {
          out.append(separator);
          writeString((String) entry.getKey(), out);
          out.append(':');
          write(entry.getValue(), out);
          separator = ",";
        }
        out.append('}');
      }
      case List<?> list -> {
        out.append('[');
        String separator = "";
        for (Object element : list) {
          out.append(separator);
          write(element, out);
          separator = ",";
        }
        out.append(']');
      }
      default -> out.append(value);
    }
  }

  private static void writeString(String string, StringBuilder out) {
    out.append('"');
    for (char c : string.toCharArray()) {
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < ' ') {
        out.append("\\u%04x".formatted((int) c));
      } else {
        out.append(c);
      }
    }
    out.append('"');
  }

  private Object value() {
    skipSpace();
    char c = text.charAt(at);
    if (c == '{') {
      at++;
      Map<String, Object> map = new LinkedHashMap<>();
      while (next() != '}') {
        String name = (String) value();
        next();
        at++;
        map.put(name, value());
        if (next() == ',') {
          at++;
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      at++;
      List<Object> list = new ArrayList<>();
      while (next() != ']') {
        list.add(value());
        if (next() == ',') {
          at++;
        }
      }
      at++;
      return list;
    }
    return c == '"' ? string() : literal();
  }

  private char next() {
    skipSpace();
    return text.charAt(at);
  }

  private void skipSpace() {
    while (Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        char escaped = text.charAt(at++);
        switch (escaped) {
          case 'n' -> out.append('\n');
          case 't' -> out.append('\t');
          case 'r' -> out.append('\r');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> out.append(escaped);
        }
      } else {
        out.append(c);
      }
    }
    at++;
    return out.toString();
  }

  private Object literal() {
    int start = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    return switch (word) {
      case "true" -> true;
      case "false" -> false;
      case "null" -> null;
      default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.valueOf(word);
    };
  }
}
