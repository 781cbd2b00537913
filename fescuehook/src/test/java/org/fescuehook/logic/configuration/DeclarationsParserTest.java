package org.fescuehook.logic.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniSource;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.fleet.Worker;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@UseReporter(QuietReporter.class)
class DeclarationsParserTest {

  private static final String RACK_OF_FOUR =
      """
      [workers w-{1..4}]
      address = 10.0.0.1:{7201..}
      failure-domain = a
      rack = r1
      accelerators = 8
      cores = 64
      memory = 256GiB
      """;
  private static final String SURVEYS =
      "[organisation surveys]\nquota-accelerators = 32\nrequest-share = 8\n";

  private static final String INCONSISTENT =
      SURVEYS
          + """
            [organisation coaches]
            quota-accelerators = 4
            request-share = 8
            [guarantee unheld]
            organisation = nobody
            members = 1
            accelerators = 1
            cores = 1
            memory = 1GiB
            [guarantee too-wide]
            organisation = surveys
            members = 4
            accelerators = 8
            cores = 1
            memory = 1GiB
            max-racks = 1
            [guarantee too-large]
            organisation = surveys
            members = 1
            accelerators = 9
            cores = 1
            memory = 1GiB
            [guarantee beyond]
            organisation = coaches
            members = 1
            accelerators = 1
            cores = 1
            memory = 1GiB
            count = 9
            [rule 7]
            when = organisation=nobody
            then = admit
            [rule 07]
            then = admit
            [workers w-{1..2}]
            address = 10.0.0.1:{7201..}
            failure-domain = a
            rack = r1
            accelerators = 8
            cores = 64
            memory = 256GiB
            [worker w-2]
            address = 10.0.0.1:7209
            failure-domain = a
            rack = r2
            accelerators = 8
            cores = 64
            memory = 256GiB
            [worker w-3]
            address = 10.0.0.1:7201
            failure-domain = a
            rack = r2
            accelerators = 8
            cores = 64
            memory = 256GiB
            [worker w-4]
            address = 10.0.0.1:7210
            failure-domain = b
            rack = r2
            accelerators = 8
            cores = 64
            memory = 256GiB
            [executor e-1]
            address = 10.0.0.1:7202
            failure-domain = a
            slots = 8
            connections = 64
            """;

  @Test
  void syntaxFaultsAreReportedAtOnce() {
    verifyFaults(
        """
        [policy]
        fragmentation-weight = 1.5
        reclaim-bound = 20s
        checkpoint-notice = 20s
        max-wait = 3 days
        [organisation]
        [organisation surveys]
        weight = heavy
        quota = 3
        [guarantee g1]
        members = 65
        accelerators = 8
        cores = 1
        memory = 64GB
        [rule one]
        then = admit
        [rule 1]
        when = accelerators=8-1
        then = admit priority=2000
        [rule 2]
        when = colour=red
        then = refuse without quotes
        [rule 3]
        when = time=22:00-25:00
        then = admit borrow=perhaps
        [rule 4]
        when = urgent=true, urgent=false
        then = admit
        [rule 5]
        when = load=80%-1
        then = admit
        [workers w-{9..1}]
        [worker w 1]
        [workers v-{1..900}]
        address = 10.0.{0..}.1:7200
        failure-domain = a
        rack = r1
        accelerators = 8
        cores = 64
        memory = 256GiB
        [executor e-1]
        address = executor.example:7300
        failure-domain = a
        slots = 8
        connections = 4
        [racks r1]
        """);
  }

  @Test
  void inconsistentItemsAreReportedAtOnce() {
    verifyFaults(INCONSISTENT);
  }

  @Test
  void guaranteesThatFitInTotalButNotIntoTheRacksAreRejected() {
    String twoRacksOfTwo = RACK_OF_FOUR.replace("rack = r1", "rack = r{1../2}");
    verifyFaults(
        SURVEYS
            + """
            [guarantee half]
            organisation = surveys
            members = 3
            accelerators = 4
            cores = 1
            memory = 1GiB
            max-racks = 1
            count = 2
            [guarantee whole]
            organisation = surveys
            members = 1
            accelerators = 8
            cores = 1
            memory = 1GiB
            """
            + twoRacksOfTwo);
  }

  @Test
  void guaranteesThatFillTheRacksAreAccepted() throws FaultyInputException {
    Declarations declarations =
        parse(
                SURVEYS
                    + """
                    [guarantee small]
                    organisation = surveys
                    members = 2
                    accelerators = 4
                    cores = 1
                    memory = 1GiB
                    count = 2
                    [guarantee large]
                    organisation = surveys
                    members = 2
                    accelerators = 8
                    cores = 1
                    memory = 1GiB
                    max-racks = 1
                    """
                    + RACK_OF_FOUR)
            .declarations();

    assertEquals(32, Total.ofGuarantees(declarations.guarantees()).accelerators());
  }

  @Test
  void emptyFleetIsRejected() {
    FaultyInputException rejected = assertThrows(FaultyInputException.class, () -> parse(SURVEYS));

    assertEquals(
        "declarations.ini: the fleet is empty; accepted: at least one [worker NAME], [workers"
            + " NAME-{1..9}], [executor NAME] or [executors NAME-{1..9}]",
        rejected.getMessage());
  }

  @Test
  void oneSectionDeclaresManySimilarWorkers() throws FaultyInputException {
    List<Worker> workers =
        parse(
                """
                [workers w-{001..810}]
                address = {10.0.3.250..}:7200
                failure-domain = fd-{01..11}
                rack = r{001../11}-{01..11}
                accelerators = 1
                cores = 8
                memory = 32GiB
                """)
            .declarations()
            .fleet()
            .workers();

    assertEquals(810, workers.size());
    Worker twelfth = workers.get(11);
    assertEquals("w-012", twelfth.id().value());
    assertEquals("10.0.4.5", twelfth.address().getAddress().getHostAddress());
    assertEquals("fd-01", twelfth.domain().value());
    assertEquals("r002-01", twelfth.rack().value());
    assertEquals("r074-07", workers.getLast().rack().value());
  }

  @Test
  void unreachableRulesCauseWarnings() throws FaultyInputException {
    CheckedDeclarations checked =
        parse(
            """
            [rule 1]
            when = accelerators=33-
            then = refuse "never"
            [rule 2]
            when = time=22:00-06:00, accelerators=1-8
            then = admit
            [rule 3]
            when = time=23:00-05:00, accelerators=2-4, urgent=true
            then = admit priority=5
            [rule 4]
            when = time=23:00-07:00, accelerators=2-4
            then = admit priority=5
            [rule 5]
            then = admit
            [rule 6]
            when = urgent=true
            then = admit
            """
                + RACK_OF_FOUR);

    assertEquals(
        List.of("rule 1", "rule 3", "rule 6"),
        checked.warnings().stream().map(warning -> warning.location().section()).toList());
  }

  @Test
  void conditionsAndVerdictsAreWrittenAsTheyAreParsed() throws Exception {
    String when =
        "organisation=surveys, accelerators=1-8, declared=1h-, urgent=true, time=22:00-06:00,"
            + " load=0.8-1";
    String then = "admit priority=10 borrow=no";

    assertEquals(when, ConditionWriter.write(ConditionParser.TYPE.reader().read(when)));
    assertEquals(then, VerdictParser.TYPE.writer().apply(VerdictParser.TYPE.reader().read(then)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"surveys", "coaches"})
  void examplesForUsersAreValid(String example) throws Exception {
    Path folder = Path.of(System.getProperty("basedir", "."), "../docs/users/examples", example);

    CheckedDeclarations checked =
        new DeclarationsParser()
            .check(List.of(source(folder, "fleet.ini"), source(folder, "tenants.ini")));

    assertEquals(List.of(), checked.warnings());
    assertEquals(30, checked.declarations().fleet().workers().size());
    assertEquals(30, checked.declarations().fleet().executors().size());
  }

  private static IniSource source(Path folder, String file) throws IOException {
    return new IniSource(file, Files.readAllBytes(folder.resolve(file)));
  }

  private static CheckedDeclarations parse(String text) throws FaultyInputException {
    return new DeclarationsParser().check(List.of(IniSource.of("declarations.ini", text)));
  }

  private static void verifyFaults(String text) {
    FaultyInputException rejected = assertThrows(FaultyInputException.class, () -> parse(text));
    Approvals.verify(rejected.getMessage());
  }
}
