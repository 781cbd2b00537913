/** Measures scheduling policies on the same traces. */
@NullMarked
package org.fescuehook.bench.policy;

import org.jspecify.annotations.NullMarked;
