/** Finds out from an external advice service which executors may run a step. */
@NullMarked
package org.fescuehook.logic.batch.advice;

import org.jspecify.annotations.NullMarked;
