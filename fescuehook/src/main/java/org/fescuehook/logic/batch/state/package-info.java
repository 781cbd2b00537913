/** Open jobs, their steps, tasks and live runs, and how they are stored. */
@NullMarked
package org.fescuehook.logic.batch.state;

import org.jspecify.annotations.NullMarked;
