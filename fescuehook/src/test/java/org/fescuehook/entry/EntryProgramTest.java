package org.fescuehook.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescuehook.logic.scheduling.GuaranteeScheduler;
import org.fescuehook.model.fleet.FailureDomain;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.model.preferences.AddressPreferences;
import org.fescuehook.model.preferences.ControlPreferences;
import org.fescuehook.model.preferences.EntryPreferences;
import org.fescuehook.model.preferences.IdentityPreferences;
import org.fescuehook.model.preferences.MembershipPreferences;
import org.fescuehook.model.preferences.RequestPreferences;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests whole entry VMs over loopback, with fakes of the platform and the backend servers in the
 * test's process.
 */
@Timeout(120)
class EntryProgramTest {

  private static final int NOT_READY = 503;
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  private static final ControlPreferences FAST_CONTROL =
      new ControlPreferences(
          Duration.ofMillis(100),
          Duration.ofMillis(600),
          Duration.ofMillis(50),
          Duration.ofSeconds(30),
          Duration.ofMillis(100),
          Duration.ofSeconds(10),
          Duration.ofMinutes(10),
          Duration.ofMillis(20));
  private static final MembershipPreferences FAST_MEMBERSHIP =
      new MembershipPreferences(
          Duration.ofMillis(100),
          Duration.ofMillis(100),
          Duration.ofSeconds(2),
          Duration.ofSeconds(30),
          Duration.ZERO,
          Duration.ofSeconds(20));
  private static final String JOB =
      "{\"organisation\":\"surveys\",\"members\":2,\"accelerators\":1,\"cores\":1,"
          + "\"memoryMegabytes\":1024,\"maxRacks\":1,\"runTimeSeconds\":1,\"urgent\":false,"
          + "\"checkpointable\":false,\"command\":\"run\"}";

  private final HttpClient client = HttpClient.newHttpClient();
  private final List<EntryProgram> programs = new ArrayList<>();
  private FakePlatform platform;

  @BeforeEach
  void open() throws IOException {
    platform = new FakePlatform();
  }

  @AfterEach
  void close() {
    programs.forEach(EntryProgram::stop);
    client.close();
    platform.close();
  }

  @Test
  void oneVmServesAConfigurationARequestAndAGangJob() throws Exception {
    EntryAddresses vm = start("entry-1");
    publish(vm);
    awaitReady(vm);

    HttpResponse<String> answer = post(vm.service(), "/requests/echo", "hello");
    assertEquals("hello", answer.body());
    assertEquals(1, platform.runs());

    assertTrue(await(vm, submit(vm)).contains("\"finished\""));
    assertEquals(2, platform.starts());
  }

  @Test
  void anotherVmTakesOverWhenTheOwnerStopsGracefully() throws Exception {
    EntryAddresses first = start("entry-1");
    publish(first);
    awaitReady(first);
    String job = submit(first);
    await(first, job);
    EntryAddresses second = start("entry-2");
    awaitReady(second);

    programs.getFirst().stop();

    assertTrue(await(second, job).contains("\"finished\""));
    assertTrue(await(second, submit(second)).contains("\"finished\""));
  }

  @Test
  void aFailedStartNamesThePortInUse() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      InetSocketAddress address = (InetSocketAddress) taken.getLocalSocketAddress();
      EntryProgram program = program("entry-1", address);

      EntryStartException fault = assertThrows(EntryStartException.class, program::start);

      assertEquals("bind service port", fault.step());
      assertEquals(address, fault.address());
    }
  }

  private EntryAddresses start(String vm) throws EntryStartException {
    EntryProgram program = program(vm, ANY_PORT);
    programs.add(program);
    EntryAddresses addresses = program.start();
    platform.list(vm, addresses.peer());
    return addresses;
  }

  private EntryProgram program(String vm, InetSocketAddress service) {
    AddressPreferences addresses =
        new AddressPreferences(
            service, ANY_PORT, ANY_PORT, Optional.empty(), platform.address(), platform.address());
    EntryPreferences preferences =
        new EntryPreferences(
            new IdentityPreferences(new VmId(vm), new FailureDomain("domain-1")),
            addresses,
            FAST_CONTROL,
            RequestPreferences.DEFAULT,
            FAST_MEMBERSHIP);
    return new EntryProgram(preferences, new GuaranteeScheduler(), new ParsedDeclarations());
  }

  private void publish(EntryAddresses vm) throws Exception {
    String body =
        "{\"base\":-1,\"author\":\"ana\",\"reason\":\"first\",\"declarations\":\"%s\"}"
            .formatted(declarations().replace("\n", "\\n"));
    awaitStatus(200, () -> post(vm.operator(), "/configuration", body));
  }

  private void awaitReady(EntryAddresses vm) throws Exception {
    awaitStatus(200, () -> get(vm.operator(), "/readyz"));
  }

  private String submit(EntryAddresses vm) throws Exception {
    HttpResponse<String> accepted = awaitStatus(202, () -> post(vm.service(), "/jobs", JOB));
    return accepted.body().replaceAll(".*\"job\":\"([^\"]+)\".*", "$1");
  }

  private String await(EntryAddresses vm, String job) throws Exception {
    return awaitStatus(200, () -> get(vm.service(), "/jobs/" + job + "?wait-ms=20000")).body();
  }

  /** Repeats a call while the VM is not ready. The timeout of the test class bounds the retries. */
  private static HttpResponse<String> awaitStatus(int status, Call call) throws Exception {
    HttpResponse<String> answer = call.make();
    while (answer.statusCode() == NOT_READY) {
      answer = call.make();
    }
    assertEquals(status, answer.statusCode(), answer.body());
    return answer;
  }

  private HttpResponse<String> get(InetSocketAddress at, String target) throws Exception {
    return send(HttpRequest.newBuilder(uri(at, target)));
  }

  private HttpResponse<String> post(InetSocketAddress at, String target, String body)
      throws Exception {
    return send(
        HttpRequest.newBuilder(uri(at, target))
            .header("Organisation", "surveys")
            .POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private static URI uri(InetSocketAddress at, String target) {
    return URI.create("http://127.0.0.1:" + at.getPort() + target);
  }

  private String declarations() {
    return """
        [organisation surveys]
        weight = 1
        quota-accelerators = 8
        request-share = 10
        [rule 10]
        then = admit priority=10 borrow=yes
        [worker worker-1]
        address = WORKER
        failure-domain = domain-1
        rack = rack-1
        accelerators = 8
        cores = 64
        memory = 256GiB
        [executor executor-1]
        address = ADDRESS
        failure-domain = domain-1
        slots = 8
        connections = 64
        """
        .replace("WORKER", "127.0.0.1:" + platform.workerAddress().getPort())
        .replace("ADDRESS", "127.0.0.1:" + platform.address().getPort());
  }

  @FunctionalInterface
  private interface Call {
    HttpResponse<String> make() throws Exception;
  }
}
