/** Keeps the state of jobs, their steps, tasks and live runs, and stores it. */
@NullMarked
package org.fescuehook.logic.batch.state;

import org.jspecify.annotations.NullMarked;
