/** Batch jobs: steps of tasks with dependencies that run on shared executors. */
@NullMarked
package org.fescuehook.model.batch;

import org.jspecify.annotations.NullMarked;
