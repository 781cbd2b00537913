/** Traces of what a decision core was told and what it decided, as text, and their replay. */
@NullMarked
package org.fescuehook.logic.control.trace;

import org.jspecify.annotations.NullMarked;
