/** Runs threads that have one duty each, and the rings that feed them. */
@NullMarked
package org.fescuehook.net.duty;

import org.jspecify.annotations.NullMarked;
