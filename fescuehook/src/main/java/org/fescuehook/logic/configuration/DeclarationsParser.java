package org.fescuehook.logic.configuration;

import java.util.List;
import java.util.regex.Pattern;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniParser;
import org.fescuehook.logic.ini.IniSection;
import org.fescuehook.logic.ini.IniSource;
import org.fescuehook.model.configuration.Declarations;

/**
 * Parses and checks declarations, which may be spread over several files. Reports all faults at
 * once.
 */
public final class DeclarationsParser {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final String SECTIONS =
      "[policy], [organisation NAME], [guarantee NAME], [rule N], [worker NAME],"
          + " [workers NAME-{001..030}], [executor NAME] or [executors NAME-{01..30}]";

  /**
   * Parses and checks declarations.
   *
   * @throws FaultyInputException if there are any faults
   */
  public CheckedDeclarations check(List<IniSource> sources) throws FaultyInputException {
    CheckedDeclarations checked = parse(sources);
    if (!checked.faults().isEmpty()) {
      throw new FaultyInputException(checked.faults());
    }
    return checked;
  }

  /**
   * Parses declarations. Faults found by the consistency checks are part of the result.
   *
   * @throws FaultyInputException if there are syntax faults; the exception also carries the faults
   *     of the consistency checks
   */
  public CheckedDeclarations parse(List<IniSource> sources) throws FaultyInputException {
    DeclaredItems items = parseItems(sources);
    DeclarationsChecks checks = new DeclarationsChecks(items);
    List<Fault> faults = checks.faults();
    if (!items.faults().isEmpty()) {
      items.faults().addAll(faults);
      throw new FaultyInputException(items.faults());
    }
    return new CheckedDeclarations(items.toDeclarations(), faults, checks.warnings());
  }

  /**
   * Parses declarations without the consistency checks, for declarations that are already
   * published.
   *
   * @throws FaultyInputException if there are syntax faults
   */
  public Declarations read(List<IniSource> sources) throws FaultyInputException {
    DeclaredItems items = parseItems(sources);
    if (!items.faults().isEmpty()) {
      throw new FaultyInputException(items.faults());
    }
    return items.toDeclarations();
  }

  private static DeclaredItems parseItems(List<IniSource> sources) {
    DeclaredItems items = new DeclaredItems(new IniParser().parse(sources));
    for (IniSection section : items.document().sections()) {
      parseSection(section, items);
    }
    return items;
  }

  private static void parseSection(IniSection section, DeclaredItems items) {
    SectionsParser sections = new SectionsParser(items);
    FleetParser fleet = new FleetParser(items);
    switch (section.kind()) {
      case DeclarationKeys.WORKERS -> fleet.parseWorkers(section);
      case DeclarationKeys.EXECUTORS -> fleet.parseExecutors(section);
      case DeclarationKeys.RULE -> sections.parseRule(section);
      case DeclarationKeys.POLICY -> sections.parsePolicy(section);
      case DeclarationKeys.ORGANISATION,
          DeclarationKeys.GUARANTEE,
          DeclarationKeys.WORKER,
          DeclarationKeys.EXECUTOR ->
          parseNamed(section, sections, fleet, items);
      default -> {
        Fault fault = new Fault(section.location(), "", "unknown section", "one of " + SECTIONS);
        items.faults().add(fault);
      }
    }
  }

  private static void parseNamed(
      IniSection section, SectionsParser sections, FleetParser fleet, DeclaredItems items) {
    if (!NAME.matcher(section.title()).matches()) {
      String accepted =
          "[" + section.kind() + " NAME] with a name of letters, digits, '.', '_' or '-'";
      items.faults().add(new Fault(section.location(), "", "has no proper name", accepted));
      return;
    }
    switch (section.kind()) {
      case DeclarationKeys.ORGANISATION -> sections.parseOrganisation(section);
      case DeclarationKeys.GUARANTEE -> sections.parseGuarantee(section);
      case DeclarationKeys.WORKER -> fleet.parseWorker(section);
      default -> fleet.parseExecutor(section);
    }
  }
}
