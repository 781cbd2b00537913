/**
 * What an owner learns about executors, durations of tasks and organisations, and how plans use it.
 */
@NullMarked
package org.fescuehook.logic.batch.statistics;

import org.jspecify.annotations.NullMarked;
