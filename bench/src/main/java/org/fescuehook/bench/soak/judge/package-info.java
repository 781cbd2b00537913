/** Judges what callers and executors saw of a run; without network, processes or clock. */
@NullMarked
package org.fescuehook.bench.soak.judge;

import org.jspecify.annotations.NullMarked;
