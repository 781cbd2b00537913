package org.fescuehook.logic.control.request;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fescuehook.logic.control.ControlSummary;
import org.fescuehook.logic.control.state.ControlState;
import org.fescuehook.model.fleet.VmId;
import org.fescuehook.wire.WorkerJudged;

/** Writes the state of the system as JSON, for operators. */
public final class StatusDocument {

  private StatusDocument() {}

  /** Returns the state as a JSON document. */
  public static String json(VmId vm, ControlSummary summary, ControlState state, long wallMillis) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("vm", vm.value());
    node.put("owner", summary.owner().map(VmId::value).orElse(""));
    node.put("epoch", summary.epoch());
    node.put("revision", summary.revision());
    node.put("nextOffset", summary.nextOffset());
    node.put("current", summary.current());
    node.put("waitingJobs", summary.waitingJobs());
    node.put("liveAttempts", summary.liveAttempts());
    node.put("unreadAppends", summary.unreadAppends());
    node.put("skippedRecords", summary.skippedRecords());
    ArrayNode quarantined = node.putArray("quarantined");
    for (WorkerJudged judged : state.quarantines()) {
      if (judged.getUntilMillis() > wallMillis) {
        quarantined
            .addObject()
            .put("worker", judged.getWorker())
            .put("until", judged.getUntilMillis())
            .put("evidence", judged.getEvidence());
      }
    }
    return node.toString();
  }
}
