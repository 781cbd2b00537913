/** Records and offsets of the platform's log. */
@NullMarked
package org.fescuehook.model.log;

import org.jspecify.annotations.NullMarked;
