/** Assembles the process of a VM that schedules batch jobs. */
@NullMarked
package org.fescuehook.entry.scheduler;

import org.jspecify.annotations.NullMarked;
