package org.fescuehook.logic.configuration;

import java.util.List;
import java.util.regex.Pattern;
import org.fescuehook.logic.ini.Fault;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniDocument;
import org.fescuehook.logic.ini.IniParser;
import org.fescuehook.logic.ini.IniSection;
import org.fescuehook.logic.ini.IniSource;

/** Parses and checks declarations, which may be spread over files; reports all faults at once. */
public final class DeclarationsParser {

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final String SECTIONS =
      "[policy], [organisation NAME], [guarantee NAME], [rule N], [worker NAME],"
          + " [workers NAME-{001..030}], [executor NAME] or [executors NAME-{01..30}]";

  /**
   * Parses declarations.
   *
   * @throws FaultyInputException if anything is wrong with them
   */
  public CheckedDeclarations parse(List<IniSource> sources) throws FaultyInputException {
    DeclaredItems items = new DeclaredItems();
    IniDocument document = new IniParser().parse(sources);
    items.faults.addAll(document.faults());
    for (IniSection section : document.sections()) {
      parseSection(section, items);
    }
    if (!items.faults.isEmpty()) {
      throw new FaultyInputException(items.faults);
    }
    return new CheckedDeclarations(items.toDeclarations(), items.warnings);
  }

  private static void parseSection(IniSection section, DeclaredItems items) {
    SectionsParser sections = new SectionsParser(items);
    FleetParser fleet = new FleetParser(items);
    switch (section.kind()) {
      case "workers" -> fleet.parseWorkers(section);
      case "executors" -> fleet.parseExecutors(section);
      case DeclarationKeys.RULE -> sections.parseRule(section);
      case DeclarationKeys.POLICY -> sections.parsePolicy(section);
      case DeclarationKeys.ORGANISATION,
              DeclarationKeys.GUARANTEE,
              DeclarationKeys.WORKER,
              DeclarationKeys.EXECUTOR ->
          parseNamed(section, sections, fleet, items);
      default ->
          items.faults.add(new Fault(section.place(), "", "unknown section", "one of " + SECTIONS));
    }
  }

  private static void parseNamed(
      IniSection section, SectionsParser sections, FleetParser fleet, DeclaredItems items) {
    if (!NAME.matcher(section.title()).matches()) {
      String accepted = "[" + section.kind() + " NAME] with letters, digits, '.', '_' or '-'";
      items.faults.add(new Fault(section.place(), "", "has no proper name", accepted));
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
