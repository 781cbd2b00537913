/** Numbered log events. */
@NullMarked
package org.fescuehook.model.event;

import org.jspecify.annotations.NullMarked;
