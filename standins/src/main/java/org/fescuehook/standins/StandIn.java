package org.fescuehook.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.fescuehook.standins.http.Json;
import org.fescuehook.standins.http.StandInServer;

/**
 * A stand-in for an outside service, or a group of stand-ins of the same kind.
 *
 * @param <F> type of its faults; a field that is absent in their JSON stands for no fault
 */
public abstract class StandIn<F> implements AutoCloseable {
  private final String target;
  private final Class<F> faultsType;

  /** Creates a stand-in that requests to the control server name by {@code target}. */
  protected StandIn(String target, Class<F> faultsType) {
    this.target = target;
    this.faultsType = faultsType;
  }

  /** Returns the name by which requests to the control server refer to this stand-in. */
  public final String target() {
    return target;
  }

  /** Replaces the faults in force. */
  public abstract void apply(F faults);

  /** Replaces the faults in force by faults in JSON. */
  public final void applyJson(JsonNode faults) throws JsonProcessingException {
    apply(Json.convert(faults, faultsType));
  }

  /** Returns the journal, oldest entry first; empty if this stand-in keeps none. */
  public List<?> journal() {
    return List.of();
  }

  /** Returns counters, as an object that Jackson can serialise. */
  public abstract Object stats();

  /** Drops all further data on the connections that are open now; new connections work. */
  public final void silenceOpenConnections() {
    servers().forEach(StandInServer::silenceOpenConnections);
  }

  /** Stops listening and closes all connections. */
  @Override
  public void close() {
    servers().forEach(StandInServer::close);
  }

  /** Returns the HTTP servers of this stand-in. */
  protected abstract List<StandInServer> servers();
}
