package org.fescuehook.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.control.DeclarationsReader;
import org.fescuehook.model.configuration.Declarations;
import org.fescuehook.model.configuration.PolicyPreferences;
import org.fescuehook.model.fleet.Fleet;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.MembershipPreferences;
import org.fescuehook.wire.ConfigurationPublished;
import org.fescuehook.wire.ConfigurationReply;
import org.junit.jupiter.api.Test;

class PeerAnswersTest {

  private final ConfigurationKeeper keeper = new ConfigurationKeeper(configuration -> {});
  private final VmState state =
      new VmState(new VmId("entry-1"), MembershipPreferences.DEFAULT, keeper);
  private final PeerAnswers answers =
      new PeerAnswers(state, keeper, new FakeReader(), key -> Optional.empty());

  @Test
  void aNewerConfigurationOfAPeerIsPutInForce() {
    answers.configurationReceived(reply(7, "ok"));

    answers.configurationReceived(reply(5, "ok"));

    assertEquals(7, keeper.revision());
  }

  @Test
  void anUnreadableConfigurationIsIgnored() {
    answers.configurationReceived(reply(7, "ok"));

    answers.configurationReceived(reply(9, "not to be read"));

    assertEquals(7, keeper.revision());
  }

  @Test
  void aPeerIsSentOnlyANewerConfiguration() {
    answers.configurationReceived(reply(7, "ok"));

    assertEquals(
        Optional.of(8L), answers.configurationAbove(7).map(ConfigurationReply::getRevisionPlusOne));
    assertEquals(Optional.empty(), answers.configurationAbove(8));
  }

  private static ConfigurationReply reply(long revision, String declarations) {
    return ConfigurationReply.newBuilder()
        .setRevisionPlusOne(revision + 1)
        .setConfiguration(ConfigurationPublished.newBuilder().setDeclarations(declarations))
        .build();
  }

  private static final class FakeReader implements DeclarationsReader {
    @Override
    public Declarations parse(String text) throws InvalidDeclarationsException {
      if (!text.equals("ok")) {
        throw new InvalidDeclarationsException("line 1");
      }
      return new Declarations(
          List.of(),
          List.of(),
          List.of(),
          new Fleet(List.of(), List.of()),
          PolicyPreferences.DEFAULT);
    }
  }
}
