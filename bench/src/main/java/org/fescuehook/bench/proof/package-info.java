/** Proofs that promises hold while processes, the log and executors fail. */
@NullMarked
package org.fescuehook.bench.proof;

import org.jspecify.annotations.NullMarked;
