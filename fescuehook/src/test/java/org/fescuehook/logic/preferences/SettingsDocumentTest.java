package org.fescuehook.logic.preferences;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.approvaltests.Approvals;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniSource;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.EntryPreferences;
import org.fescuehook.model.preferences.MembershipPreferences;
import org.fescuehook.model.preferences.RequestPreferences;
import org.fescuehook.page.PageNamer;
import org.junit.jupiter.api.Test;

class SettingsDocumentTest {

  @Test
  void operatorsPageIsCurrent() {
    Approvals.verify(new SettingsDocument().page(), PageNamer.page("operators/SETTINGS"));
  }

  @Test
  void exampleIsValidAndHasTheDefaults() throws FaultyInputException {
    IniSource example = IniSource.of("example.ini", new SettingsDocument().example());

    EntryPreferences preferences = new SettingsParser(PortProbe.NONE).parse(example);

    assertEquals(ControlPreferences.DEFAULT, preferences.control());
    assertEquals(RequestPreferences.DEFAULT, preferences.requests());
    assertEquals(MembershipPreferences.DEFAULT, preferences.membership());
  }
}
