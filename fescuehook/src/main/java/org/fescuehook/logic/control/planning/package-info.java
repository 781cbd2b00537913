/** Decisions of the scheduling policy and the end of jobs, turned into records by the owner. */
@NullMarked
package org.fescuehook.logic.control.planning;

import org.jspecify.annotations.NullMarked;
