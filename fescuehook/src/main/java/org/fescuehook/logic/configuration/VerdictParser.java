package org.fescuehook.logic.configuration;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fescuehook.logic.ini.MalformedValueException;
import org.fescuehook.logic.ini.ValueType;
import org.fescuehook.model.rule.Verdict;

/** Parses and writes the verdict of a rule. */
final class VerdictParser {

  private static final String ACCEPTED =
      "admit [priority=0 to 1000] [borrow=yes|no], or refuse \"text for the caller\"";
  private static final Pattern ADMIT =
      Pattern.compile("admit(?:\\s+priority=(\\d{1,4}))?(?:\\s+borrow=(yes|no))?");
  private static final Pattern REFUSE = Pattern.compile("refuse\\s+\"([^\"]{1,500})\"");
  private static final int MAX_PRIORITY = 1000;

  static final ValueType<Verdict> TYPE =
      new ValueType<>(ACCEPTED, VerdictParser::parse, VerdictParser::write);

  private VerdictParser() {}

  private static Verdict parse(String text) throws MalformedValueException {
    Matcher admit = ADMIT.matcher(text);
    if (admit.matches()) {
      int priority = admit.group(1) == null ? 0 : Integer.parseInt(admit.group(1));
      if (priority > MAX_PRIORITY) {
        throw new MalformedValueException("has a priority above " + MAX_PRIORITY);
      }
      return new Verdict.Admit(priority, !"no".equals(admit.group(2)));
    }
    Matcher refuse = REFUSE.matcher(text);
    if (refuse.matches()) {
      return new Verdict.Refuse(refuse.group(1));
    }
    throw new MalformedValueException("is no decision");
  }

  private static String write(Verdict verdict) {
    return switch (verdict) {
      case Verdict.Admit(int priority, boolean mayBorrow) ->
          "admit priority=" + priority + " borrow=" + (mayBorrow ? "yes" : "no");
      case Verdict.Refuse(String detail) -> "refuse \"" + detail + "\"";
    };
  }
}
