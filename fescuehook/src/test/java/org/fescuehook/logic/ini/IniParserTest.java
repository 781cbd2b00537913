package org.fescuehook.logic.ini;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.ToIntFunction;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.tree.ImmutableNode;
import org.junit.jupiter.api.Test;

class IniParserTest {

  @Test
  void valuesAreTakenLiterally() {
    IniDocument document = parse("[a.b c]\nx.y = ${env:HOME}, 1:2 = 3 # comment\n");

    assertEquals(List.of(), document.faults());
    IniSection section = document.section("a.b c").orElseThrow();
    assertEquals("${env:HOME}, 1:2 = 3", section.entry("x.y").orElseThrow().value());
  }

  @Test
  void lineNumbersCountCommentsAndBlankLines() {
    IniDocument document = parse("# one \\\r\n[s]\r\na = 1\r\n\r\n; five\r\nb = 4\r\n");

    IniSection section = document.section("s").orElseThrow();
    assertEquals(List.of(3, 6), section.entries().stream().map(e -> e.location().line()).toList());
  }

  @Test
  void valueThatContinuesOnTheNextLineIsRejected() {
    IniDocument document = parse("[s]\na = 1 \\\n# of 2\n");

    assertEquals(
        "f.ini:2: [s] a = 1 \\: goes on in the next line; accepted: each value on one line",
        document.faults().getFirst().message());
  }

  @Test
  void textThatIsNotUtf8IsRejectedWithItsPlace() {
    byte[] latin = "[s]\na = Évora\n".getBytes(StandardCharsets.ISO_8859_1);

    IniDocument document = new IniParser().parse(List.of(new IniSource("f.ini", latin)));

    assertEquals(
        "f.ini:2: byte 0xc9 at column 5 (offset 8) is not UTF-8; accepted: text in UTF-8",
        document.faults().getFirst().message());
  }

  @Test
  void sectionThatOccursInTwoFilesIsAFault() {
    IniDocument document =
        new IniParser()
            .parse(List.of(IniSource.of("a.ini", "[s]\n"), IniSource.of("b.ini", "\n[s]\n")));

    assertEquals(
        "b.ini:2: [s]: section is given twice; the first is at a.ini:1; accepted: each section"
            + " once",
        document.faults().getFirst().message());
  }

  @Property(tries = 5000, seed = "20261202")
  void everyKeyOfAnyTextIsParsedOrReportedAsAFault(@ForAll("iniLikeText") String text)
      throws Exception {
    IniDocument document = parse(text);

    if (document.faults().isEmpty()) {
      assertEquals(libraryKeys(text), document.sections().stream().mapToInt(keyCount()).sum());
    }
    for (IniSection section : document.sections()) {
      for (IniEntry entry : section.entries()) {
        String line = text.lines().toList().get(entry.location().line() - 1);
        assertTrue(line.trim().startsWith(entry.key()), line);
      }
    }
  }

  private static ToIntFunction<IniSection> keyCount() {
    return section -> section.entries().size();
  }

  private static int libraryKeys(String text) throws Exception {
    INIConfiguration configuration = new INIConfiguration();
    configuration.setSeparatorUsedInInput("=");
    configuration.read(new StringReader(text));
    ImmutableNode root = configuration.getNodeModel().getInMemoryRepresentation();
    return root.getChildren().stream().mapToInt(node -> node.getChildren().size()).sum();
  }

  @Provide
  Arbitrary<String> iniLikeText() {
    Arbitrary<String> piece =
        Arbitraries.of(
            "[s]",
            "[",
            "]",
            "a",
            "=",
            " ",
            "\n",
            "\r\n",
            "\\",
            "\"",
            "'",
            "#",
            ";",
            "\t",
            "${x}",
            "\u0000",
            "\u2028",
            "é",
            "[policy]\n",
            "k = v\n",
            "..",
            "@",
            "(",
            ",");
    return piece.list().ofMaxSize(60).map(pieces -> String.join("", pieces));
  }

  private static IniDocument parse(String text) {
    return new IniParser().parse(List.of(IniSource.of("f.ini", text)));
  }
}
