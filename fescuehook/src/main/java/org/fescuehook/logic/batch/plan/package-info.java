/** Chooses which waiting tasks start on which executors, and which runs are preempted for them. */
@NullMarked
package org.fescuehook.logic.batch.plan;

import org.jspecify.annotations.NullMarked;
