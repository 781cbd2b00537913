/** Records that this VM appends, tracked until their outcome is read from the log. */
@NullMarked
package org.fescuehook.logic.control.append;

import org.jspecify.annotations.NullMarked;
