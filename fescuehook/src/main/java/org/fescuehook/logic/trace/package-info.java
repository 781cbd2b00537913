/**
 * Traces of what happened to a fleet and its jobs: their text, and their replay on a virtual clock.
 */
@NullMarked
package org.fescuehook.logic.trace;

import org.jspecify.annotations.NullMarked;
