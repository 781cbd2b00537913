package org.fescuehook.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.fescuehook.standins.http.Json;
import org.fescuehook.standins.http.StandInServer;

/**
 * A stand-in, or a group of alike ones.
 *
 * @param <F> its faults; an absent field of their JSON stands for no fault
 */
public abstract class StandIn<F> implements AutoCloseable {
  private final String target;
  private final Class<F> faultsType;

  /** Creates a stand-in that control calls address by {@code target}. */
  protected StandIn(String target, Class<F> faultsType) {
    this.target = target;
    this.faultsType = faultsType;
  }

  /** Returns the name by which control calls address it. */
  public final String target() {
    return target;
  }

  /** Replaces the faults in force by those given. */
  public abstract void apply(F faults);

  /** Replaces the faults in force by those given as JSON. */
  public final void applyJson(JsonNode faults) throws JsonProcessingException {
    apply(Json.convert(faults, faultsType));
  }

  /** Returns what happened, oldest first; empty if it keeps no journal. */
  public List<?> journal() {
    return List.of();
  }

  /** Returns counts, as an object that Jackson can write. */
  public abstract Object stats();

  /** Lets all open connections go silent: they stay open and nothing passes; new ones work. */
  public final void silenceOpenConnections() {
    servers().forEach(StandInServer::silenceOpenConnections);
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    servers().forEach(StandInServer::close);
  }

  /** Returns the servers that it answers on. */
  protected abstract List<StandInServer> servers();
}
