package org.fescuehook.logic.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniSource;
import org.fescuehook.model.configuration.Declarations;
import org.junit.jupiter.api.Test;

@UseReporter(QuietReporter.class)
class DeclarationsComparisonTest {

  private static final String BEFORE =
      """
      [policy]
      max-wait = 24h
      [organisation surveys]
      quota-accelerators = 32
      request-share = 8
      [organisation left]
      quota-accelerators = 8
      request-share = 8
      [guarantee forecast]
      organisation = surveys
      members = 2
      accelerators = 8
      cores = 32
      memory = 64GiB
      max-racks = 1
      [rule 1]
      when = urgent=true
      then = admit priority=10 borrow=yes
      [workers w-{1..8}]
      address = 10.0.0.1:{7201..}
      failure-domain = a
      rack = r{1../4}
      accelerators = 8
      cores = 64
      memory = 256GiB
      """;
  private static final String AFTER =
      BEFORE
          .replace("max-wait = 24h", "max-wait = 90m")
          .replace("organisation left", "organisation came")
          .replace("members = 2", "members = 4")
          .replace("urgent=true", "urgent=true, load=0.5-1")
          .replace("cores = 64", "cores = 32")
          .replace("w-{1..8}", "w-{1..6}")
          .concat(
              """
              [rule 2]
              then = refuse "closed"
              [executor e-1]
              address = 10.0.0.2:7300
              failure-domain = a
              slots = 8
              connections = 64
              """);

  @Test
  void differencesAreDescribedForOperators() throws FaultyInputException {
    verify(new DeclarationsComparison(Optional.of(parse(BEFORE)), parse(AFTER)));
  }

  @Test
  void firstDeclarationsAreAllNew() throws FaultyInputException {
    verify(new DeclarationsComparison(Optional.empty(), parse(BEFORE)));
  }

  @Test
  void changedAddressIsADifference() throws FaultyInputException {
    Declarations sameAddresses =
        parse(BEFORE.replace("10.0.0.1:{7201..}", "10.0.0.1:{7201..7208}"));
    assertEquals(
        List.of(),
        new DeclarationsComparison(Optional.of(parse(BEFORE)), sameAddresses).differences());

    Declarations changedAddresses = parse(BEFORE.replace("{7201..}", "{7301..}"));
    assertEquals(
        "~ address of worker w-1: 10.0.0.1:7201 -> 10.0.0.1:7301",
        new DeclarationsComparison(Optional.of(parse(BEFORE)), changedAddresses)
            .differences()
            .getFirst()
            .describe());
  }

  private static Declarations parse(String text) throws FaultyInputException {
    return new DeclarationsParser()
        .check(List.of(IniSource.of("declarations.ini", text)))
        .declarations();
  }

  private static void verify(DeclarationsComparison comparison) {
    Approvals.verify(
        comparison.differences().stream()
            .map(Difference::describe)
            .collect(Collectors.joining("\n")));
  }
}
