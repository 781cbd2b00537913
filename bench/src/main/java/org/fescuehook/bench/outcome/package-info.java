/** Stated outcomes beside those seen. */
@NullMarked
package org.fescuehook.bench.outcome;

import org.jspecify.annotations.NullMarked;
