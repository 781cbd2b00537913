package org.fescuehook.logic.trace;

import java.util.OptionalLong;

/**
 * What becomes of a job when it runs; the policy does not see it.
 *
 * @param runSeconds true run time
 * @param failsAfterSeconds after how long each attempt fails, for a job that can never finish
 * @param checkpointMillis how long a checkpoint takes; empty if the job ignores the request
 */
public record JobBehaviour(
    long runSeconds, OptionalLong failsAfterSeconds, OptionalLong checkpointMillis) {}
