/** Threads with one duty each. */
@NullMarked
package org.fescuehook.net.duty;

import org.jspecify.annotations.NullMarked;
