package org.fescuehook.net.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.fescuehook.logic.platform.MemberList;
import org.fescuehook.net.http.BlockingHttpClient;
import org.fescuehook.net.http.HttpCall;
import org.fescuehook.net.http.HttpCallException;
import org.fescuehook.net.http.HttpResult;

/** Fetches the list of VMs over one HTTP connection. An instance is used by one duty thread. */
public final class HttpMemberList implements MemberList {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String STEP = "fetch list of VMs";
  private static final String LEAVING = "leaving";

  private final InetSocketAddress address;
  private final Duration timeout;
  private final BlockingHttpClient client;

  /** Creates the adapter; the connection is opened by the first call. */
  public HttpMemberList(EventLoop loop, InetSocketAddress address, Duration timeout) {
    this.address = address;
    this.timeout = timeout;
    this.client = new BlockingHttpClient(loop, address, timeout);
  }

  @Override
  public List<Member> fetch() throws ListUnavailableException {
    try {
      HttpResult.Answered answer =
          client.call(HttpCall.without(HttpMethod.GET, "/members"), timeout);
      if (!answer.succeeded()) {
        throw new IOException("status " + answer.status());
      }
      return members(MAPPER.readTree(answer.body()));
    } catch (HttpCallException | IOException | IllegalArgumentException e) {
      throw new ListUnavailableException(STEP, address.toString(), e);
    }
  }

  private static List<Member> members(JsonNode list) throws IOException {
    if (!list.path("members").isArray()) {
      throw new IOException("answer without members");
    }
    List<Member> members = new ArrayList<>();
    for (JsonNode member : list.path("members")) {
      members.add(member(member));
    }
    return members;
  }

  private static Member member(JsonNode member) {
    return new Member(
        member.required("name").asText(),
        Role.valueOf(member.required("role").asText().toUpperCase(Locale.ROOT)),
        LEAVING.equals(member.path("state").asText()),
        member.required("host").asText(),
        member.required("port").asInt());
  }
}
