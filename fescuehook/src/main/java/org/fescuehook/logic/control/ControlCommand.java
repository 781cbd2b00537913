package org.fescuehook.logic.control;

import org.fescuehook.logic.worker.WorkerPort;
import org.fescuehook.model.configuration.Configuration;
import org.fescuehook.model.event.NumberedEvent;
import org.fescuehook.model.fleet.WorkerId;
import org.fescuehook.wire.ControlRecord;
import org.fescuehook.wire.SlotShares;

/** What the decision core wants done. */
public sealed interface ControlCommand {

  /** Append a record to the control stream. */
  record Append(ControlRecord record) implements ControlCommand {}

  /** Send a command to a worker. */
  record Send(WorkerId worker, WorkerPort.WorkerCommand command) implements ControlCommand {}

  /** Answer a request. */
  record Reply(long ticket, ControlPort.Answer answer) implements ControlCommand {}

  /** Put a configuration in force on this VM. */
  record ConfigurationInForce(Configuration configuration) implements ControlCommand {}

  /** Put shares of executors' slots in force on this VM. */
  record SharesInForce(SlotShares shares) implements ControlCommand {}

  /** Write a log line. */
  record Note(NumberedEvent event, Object[] arguments) implements ControlCommand {}

  /** Count one under a metric name, with tag pairs. */
  record Count(String name, String[] tags) implements ControlCommand {}
}
