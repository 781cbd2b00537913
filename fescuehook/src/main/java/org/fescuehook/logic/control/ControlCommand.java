package org.fescuehook.logic.control;

import org.fescuehook.logic.worker.WorkerPort;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.event.NumberedEvent;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.SlotShares;

/** An effect that the decision core requests from its host. */
public sealed interface ControlCommand {

  /** Appends a record to the control stream. */
  record Append(ControlRecord record) implements ControlCommand {}

  /** Sends a command to a worker. */
  record Send(WorkerId worker, WorkerPort.WorkerCommand command) implements ControlCommand {}

  /** Answers the request that has this ticket. */
  record Reply(long ticket, ControlPort.Answer answer) implements ControlCommand {}

  /** Puts a configuration in force on this VM. */
  record ConfigurationInForce(Configuration configuration) implements ControlCommand {}

  /** Puts this VM's shares of the executors' slots and connections in force. */
  record SharesInForce(SlotShares shares) implements ControlCommand {}

  /** Writes a log line. */
  record Note(NumberedEvent event, Object[] arguments) implements ControlCommand {}

  /** Increments a counter, which has a metric name and pairs of tag name and tag value. */
  record Count(String name, String[] tags) implements ControlCommand {}
}
