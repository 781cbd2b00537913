package org.fescuehook.logic.configuration;

import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniSource;
import org.fescuehook.logic.ini.Key;

class DeclarationsPropertyTest {

  private static final List<String> KEYS =
      DeclarationKeys.ALL.stream().map(key -> key.name()).distinct().toList();
  private static final String OWN_EXAMPLE = "own example";
  private static final List<String> SECTIONS =
      List.of(
          "[policy]",
          "[organisation surveys]",
          "[guarantee g]",
          "[rule 1]",
          "[rule 999999999]",
          "[worker w]",
          "[workers w-{1..30}]",
          "[workers {0..999999}]",
          "[executors e-{01..03}]",
          "[]",
          "[guarantee]");
  private static final List<String> ODD_VALUES =
      List.of(
          "999999999",
          "65536GiB",
          "10000",
          "1024",
          "64",
          "0",
          "-1",
          "",
          "{1..}",
          "{1../0}",
          "{999999999..}",
          "{255.255.255.255..}:7200",
          "{10.0.0.1..}:7200",
          "{9..1}",
          "r{1../8}",
          "accelerators=999999999999-1",
          "declared=1h-,load=-",
          "time=-,organisation=",
          "refuse \"",
          "1e9h",
          "[::1]:7200",
          "[1:7200");

  @Property(tries = 3000, seed = "20261202")
  void anyDeclarationsAreParsedOrRejectedWithFaults(@ForAll("declarations") String text) {
    try {
      new DeclarationsParser().check(List.of(IniSource.of("d.ini", text)));
    } catch (FaultyInputException e) {
      assertFalse(e.faults().isEmpty());
    }
  }

  @Provide
  Arbitrary<String> declarations() {
    Arbitrary<String> values =
        Arbitraries.frequencyOf(
            Tuple.of(12, Arbitraries.just(OWN_EXAMPLE)), Tuple.of(1, Arbitraries.of(ODD_VALUES)));
    Arbitrary<String> section =
        Arbitraries.of(SECTIONS)
            .flatMap(
                header ->
                    values
                        .list()
                        .ofSize(KEYS.size())
                        .map(chosen -> header + "\n" + keys(header, chosen)));
    return section.list().ofMaxSize(8).map(sections -> String.join("\n", sections));
  }

  private static String keys(String header, List<String> values) {
    String kind = header.replaceAll("[\\[\\]]", "").replaceAll("s? .*", "");
    return DeclarationKeys.of(kind).stream()
        .map(key -> key.name() + " = " + value(key, values.get(KEYS.indexOf(key.name()))))
        .collect(Collectors.joining("\n"));
  }

  private static String value(Key<?> key, String chosen) {
    return chosen.equals(OWN_EXAMPLE) ? key.example() : chosen;
  }
}
