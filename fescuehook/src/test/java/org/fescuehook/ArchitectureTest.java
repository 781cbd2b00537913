package org.fescuehook;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.belongToAnyOf;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaCall;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;

/** Checks the layers, and that the decision core uses no clock, thread, socket or randomness. */
class ArchitectureTest {

  private static final String MODEL = "org.fescuehook.model..";
  private static final String WIRE = "org.fescuehook.wire..";
  private static final String LOGIC = "org.fescuehook.logic..";
  private static final String NET = "org.fescuehook.net..";
  private static final String ENTRY = "org.fescuehook.entry..";
  private static final String CLI = "org.fescuehook.cli..";
  private static final String[] DECISION_CORE = {
    "org.fescuehook.logic.control..", "org.fescuehook.logic.scheduling.."
  };

  /** Static methods that read a clock or generate a random number, as class and method name. */
  private static final Set<String> IMPURE_METHODS =
      Set.of(
          "java.lang.Math.random",
          "java.lang.System.currentTimeMillis",
          "java.lang.System.nanoTime",
          "java.time.Instant.now",
          "java.util.UUID.randomUUID");

  private static final Set<String> IMPURE_TYPES =
      Set.of(
          "java.lang.Thread",
          "java.security.SecureRandom",
          "java.time.Clock",
          "java.util.Random",
          "java.util.SplittableRandom",
          "java.util.Timer",
          "java.util.concurrent.Executor",
          "java.util.concurrent.ExecutorService",
          "java.util.concurrent.Executors",
          "java.util.concurrent.ThreadLocalRandom");

  private static final Set<String> LOGGING_METHODS =
      Stream.of("trace", "debug", "info", "warn", "error")
          .flatMap(level -> Stream.of(level, "at" + capitalised(level)))
          .map(method -> Logger.class.getName() + "." + method)
          .collect(Collectors.toUnmodifiableSet());

  private static final JavaClasses MAIN_CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.fescuehook");

  @Test
  void modelDependsOnlyOnTheJdkAndNullnessAnnotations() {
    classes()
        .that()
        .resideInAPackage(MODEL)
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(MODEL, "java..", "org.jspecify..")
        .check(MAIN_CLASSES);
  }

  @Test
  void generatedMessagesDoNotDependOnHandWrittenCode() {
    noClasses()
        .that()
        .resideInAPackage(WIRE)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(MODEL, LOGIC, NET, ENTRY, CLI)
        .check(MAIN_CLASSES);
  }

  @Test
  void logicDependsNeitherOnNettyNorOnHigherLayers() {
    noClasses()
        .that()
        .resideInAPackage(LOGIC)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("io.netty..", NET, ENTRY, CLI)
        .check(MAIN_CLASSES);
  }

  @Test
  void networkAdaptersDoNotDependOnPrograms() {
    noClasses()
        .that()
        .resideInAPackage(NET)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(ENTRY, CLI)
        .allowEmptyShould(true)
        .check(MAIN_CLASSES);
  }

  @Test
  void layersHaveNoCycles() {
    slices().matching("org.fescuehook.(*)..").should().beFreeOfCycles().check(MAIN_CLASSES);
  }

  @Test
  void decisionCoreHasNoClockThreadSocketOrRandomness() {
    noClasses()
        .that()
        .resideInAnyPackage(DECISION_CORE)
        .should()
        .dependOnClassesThat(impureTypes())
        .orShould()
        .callMethodWhere(callsOneOf(IMPURE_METHODS))
        .check(MAIN_CLASSES);
  }

  @Test
  void mainCodeStartsNoProcesses() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .belongToAnyOf(ProcessBuilder.class, Process.class)
        .orShould()
        .callMethodWhere(callsOneOf(Set.of("java.lang.Runtime.exec")))
        .check(MAIN_CLASSES);
  }

  @Test
  void ioUringTransportIsNotUsed() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAPackage("io.netty.channel.uring..")
        .check(MAIN_CLASSES);
  }

  @Test
  void loggersArePrivateConstantsNamedLogger() {
    fields()
        .that()
        .haveRawType(Logger.class)
        .should()
        .bePrivate()
        .andShould()
        .beStatic()
        .andShould()
        .beFinal()
        .andShould()
        .haveName("LOGGER")
        .allowEmptyShould(true)
        .check(MAIN_CLASSES);
  }

  @Test
  void everyLogLineIsANumberedEvent() {
    noClasses()
        .that()
        .resideOutsideOfPackage("org.fescuehook.logic.event..")
        .should()
        .callMethodWhere(callsOneOf(LOGGING_METHODS))
        .check(MAIN_CLASSES);
  }

  private static DescribedPredicate<JavaClass> impureTypes() {
    DescribedPredicate<JavaClass> named =
        describe(
            "a clock, thread or source of randomness",
            type -> IMPURE_TYPES.contains(type.getFullName()));
    DescribedPredicate<JavaClass> codec = belongToAnyOf(URLEncoder.class, URLDecoder.class);
    return named
        .or(resideInAnyPackage("java.nio.channels..", "java.util.random.."))
        .or(resideInAnyPackage("java.net..").and(not(codec)));
  }

  private static String capitalised(String word) {
    return word.substring(0, 1).toUpperCase(Locale.ROOT) + word.substring(1);
  }

  private static DescribedPredicate<JavaCall<?>> callsOneOf(Set<String> methods) {
    return describe(
        "a call of one of " + methods,
        call -> methods.contains(call.getTargetOwner().getFullName() + "." + call.getName()));
  }
}
