package org.fescuehook.logic.preferences;

import java.util.List;
import org.fescuehook.logic.ini.FaultyInputException;
import org.fescuehook.logic.ini.IniParser;
import org.fescuehook.logic.ini.IniSource;
import org.fescuehook.model.preferences.AddressPreferences;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.EntryPreferences;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.model.preferences.MembershipPreferences;
import org.fescuehook.model.preferences.RequestPreferences;

/** Parses and checks the settings of an entry VM; reports all faults at once. */
public final class SettingsParser {

  private final PortProbe probe;

  /**
   * Creates a parser.
   *
   * @param probe checks whether this machine can listen on the configured addresses
   */
  public SettingsParser(PortProbe probe) {
    this.probe = probe;
  }

  /**
   * Parses a settings file.
   *
   * @throws FaultyInputException if there are any faults
   */
  public EntryPreferences parse(IniSource source) throws FaultyInputException {
    SettingsValues values =
        new SettingsValues(SettingKeys.ALL, source.file(), new IniParser().parse(List.of(source)));
    new SettingsChecks(values, probe).check();
    if (!values.faults().isEmpty()) {
      throw new FaultyInputException(values.faults());
    }
    return new EntryPreferences(
        new IdentityPreferences(values.get(SettingKeys.VM), values.get(SettingKeys.FAILURE_DOMAIN)),
        addresses(values),
        control(values),
        requests(values),
        membership(values));
  }

  private static AddressPreferences addresses(SettingsValues values) {
    return new AddressPreferences(
        values.get(SettingKeys.SERVICE),
        values.get(SettingKeys.PEER),
        values.get(SettingKeys.OPERATOR),
        values.get(SettingKeys.OPERATOR_TOKEN),
        values.get(SettingKeys.LOG),
        values.get(SettingKeys.LIST));
  }

  private static ControlPreferences control(SettingsValues values) {
    return new ControlPreferences(
        values.get(SettingKeys.OWNER_HEARTBEAT),
        values.get(SettingKeys.OWNER_TIMEOUT),
        values.get(SettingKeys.CLAIM_STAGGER),
        values.get(SettingKeys.LEASE_TTL),
        values.get(SettingKeys.RENEW_INTERVAL),
        values.get(SettingKeys.GRANT_TIMEOUT),
        values.get(SettingKeys.SNAPSHOT_INTERVAL),
        values.get(SettingKeys.TICK));
  }

  private static RequestPreferences requests(SettingsValues values) {
    return new RequestPreferences(
        values.get(SettingKeys.DEFAULT_TIMEOUT),
        values.get(SettingKeys.MAX_TIMEOUT),
        Math.toIntExact(values.get(SettingKeys.MAX_BODY)),
        Math.toIntExact(values.get(SettingKeys.MAX_HEADER)),
        values.get(SettingKeys.MAX_CALLER_CONNECTIONS),
        values.get(SettingKeys.QUEUE_LENGTH),
        values.get(SettingKeys.RETRY_BUDGET),
        values.get(SettingKeys.MAX_TRIES),
        values.get(SettingKeys.HEADER_TIMEOUT),
        values.get(SettingKeys.IDLE_TIMEOUT),
        values.get(SettingKeys.PROBE_INTERVAL),
        values.get(SettingKeys.CLAIM_WINDOW));
  }

  private static MembershipPreferences membership(SettingsValues values) {
    return new MembershipPreferences(
        values.get(SettingKeys.LIST_INTERVAL),
        values.get(SettingKeys.PEER_HEARTBEAT),
        values.get(SettingKeys.PEER_TIMEOUT),
        values.get(SettingKeys.STALE_AFTER),
        values.get(SettingKeys.DRAIN_DELAY),
        values.get(SettingKeys.DRAIN_LIMIT));
  }
}
