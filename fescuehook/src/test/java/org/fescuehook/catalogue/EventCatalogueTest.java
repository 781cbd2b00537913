package org.fescuehook.catalogue;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fescuehook.model.event.NumberedEvent;
import org.junit.jupiter.api.Test;

/** Checks that docs/EVENTS.md lists exactly the numbered events that the code defines. */
class EventCatalogueTest {

  private static final String PAGE = "EVENTS.md";

  @Test
  void eventNumbersAreUnique() {
    Map<Integer, NumberedEvent> eventsByNumber = new HashMap<>();
    List<String> duplicates = new ArrayList<>();
    for (NumberedEvent event : events()) {
      NumberedEvent earlier = eventsByNumber.putIfAbsent(event.number(), event);
      if (earlier != null) {
        duplicates.add(event.number() + ": " + qualified(earlier) + ", " + qualified(event));
      }
    }
    assertEquals(List.of(), duplicates, "numbers used twice");
  }

  @Test
  void pageListsExactlyTheEventsOfTheCode() throws IOException {
    Map<Integer, String> expected = new TreeMap<>();
    for (NumberedEvent event : events()) {
      expected.put(event.number(), columns(event));
    }
    Map<Integer, String> found = new TreeMap<>();
    for (List<String> row : Catalogue.read(PAGE).rows()) {
      found.put(Integer.valueOf(row.get(0)), Catalogue.row(row.get(0), row.get(1), row.get(2)));
    }
    assertEquals(lines(expected), lines(found), () -> difference(expected, found));
  }

  @Test
  void pageListsEventsInAscendingOrderWithTheirMeaning() throws IOException {
    int previous = 0;
    List<String> faults = new ArrayList<>();
    for (List<String> row : Catalogue.read(PAGE).rows()) {
      int number = Integer.parseInt(row.get(0));
      if (number <= previous) {
        faults.add(number + " stands after " + previous);
      }
      if (row.size() != 4 || row.get(3).isBlank()) {
        faults.add(number + " has no meaning");
      }
      previous = number;
    }
    assertEquals(List.of(), faults);
  }

  private static List<NumberedEvent> events() {
    List<NumberedEvent> events = new ArrayList<>();
    for (JavaClass type :
        new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.fescuehook")) {
      if (type.isEnum() && type.isAssignableTo(NumberedEvent.class)) {
        for (Object constant : type.reflect().getEnumConstants()) {
          events.add((NumberedEvent) constant);
        }
      }
    }
    return events;
  }

  private static String columns(NumberedEvent event) {
    return Catalogue.row(
        String.valueOf(event.number()), ((Enum<?>) event).name(), "`" + event.format() + "`");
  }

  private static String qualified(NumberedEvent event) {
    return event.getClass().getName() + "." + event;
  }

  private static String lines(Map<Integer, String> rows) {
    return String.join("\n", rows.values());
  }

  private static String difference(Map<Integer, String> expected, Map<Integer, String> found) {
    StringBuilder text = new StringBuilder("docs/" + PAGE + " differs. Rows to add or correct:\n");
    expected.forEach(
        (number, row) -> {
          if (!row.equals(found.get(number))) {
            text.append(row).append("  |\n");
          }
        });
    text.append("Rows to remove:\n");
    found.forEach(
        (number, row) -> {
          if (!expected.containsKey(number)) {
            text.append(row).append('\n');
          }
        });
    return text.toString();
  }
}
