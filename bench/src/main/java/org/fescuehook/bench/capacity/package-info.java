/** Measures what control costs by size, and fits a line to each cost. */
@NullMarked
package org.fescuehook.bench.capacity;

import org.jspecify.annotations.NullMarked;
