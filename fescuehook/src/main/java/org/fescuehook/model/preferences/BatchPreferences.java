package org.fescuehook.model.preferences;

import java.time.Duration;

/**
 * Bounds of the decisions about batch jobs, as agreed with the operators of the executors.
 *
 * @param executorLease longest lease that an executor grants
 * @param statusRetention how long the state of an ended job is shown
 * @param work how work behaves on the executors
 * @param adviceAvailable whether there is a service that names the executors that may run a step
 */
public record BatchPreferences(
    Duration executorLease,
    Duration statusRetention,
    WorkPreferences work,
    boolean adviceAvailable) {}
