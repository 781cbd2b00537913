package org.fescuehook.logic.batch.plan;

import org.fescuehook.logic.batch.executor.ExecutorState;
import org.fescuehook.logic.batch.state.StepProgress;
import org.fescuehook.logic.batch.state.TaskProgress;

/**
 * The executor on which a task is to start.
 *
 * @param step the step
 * @param task the task
 * @param executor the executor
 */
public record TaskPlacement(StepProgress step, TaskProgress task, ExecutorState executor) {}
