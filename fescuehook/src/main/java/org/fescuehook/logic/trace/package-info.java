/**
 * Traces of the events of a fleet and its jobs: their text format, and their replay on a virtual
 * clock.
 */
@NullMarked
package org.fescuehook.logic.trace;

import org.jspecify.annotations.NullMarked;
