/** The tour of the product by separate processes. */
@NullMarked
package org.fescuehook.bench.tryout;

import org.jspecify.annotations.NullMarked;
