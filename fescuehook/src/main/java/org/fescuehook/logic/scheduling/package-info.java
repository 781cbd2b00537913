/** The scheduling policy: which waiting job starts where, and which borrower gives way. */
@NullMarked
package org.fescuehook.logic.scheduling;

import org.jspecify.annotations.NullMarked;
