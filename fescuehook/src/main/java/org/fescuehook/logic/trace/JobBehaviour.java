package org.fescuehook.logic.trace;

import java.util.OptionalLong;

/**
 * How a job of a trace behaves when it runs. The scheduling policy does not see this.
 *
 * @param runSeconds actual run time
 * @param failsAfterSeconds run time after which each attempt fails, for a job that never finishes
 * @param checkpointMillis duration of a checkpoint; empty if the job ignores checkpoint requests
 */
public record JobBehaviour(
    long runSeconds, OptionalLong failsAfterSeconds, OptionalLong checkpointMillis) {}
