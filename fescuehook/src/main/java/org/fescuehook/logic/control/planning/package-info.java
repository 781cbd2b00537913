/** Turns decisions of the scheduling policy and the ends of jobs into records, on the owner. */
@NullMarked
package org.fescuehook.logic.control.planning;

import org.jspecify.annotations.NullMarked;
