/** Callers of the service port, and load made of them. */
@NullMarked
package org.fescuehook.bench.caller;

import org.jspecify.annotations.NullMarked;
