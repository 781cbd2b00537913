/** Writes numbered events to the log. */
@NullMarked
package org.fescuehook.logic.event;

import org.jspecify.annotations.NullMarked;
