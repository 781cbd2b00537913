/** A soak: scheduler VMs as processes, faults from outside drawn from a seed, and their callers. */
@NullMarked
package org.fescuehook.bench.soak;

import org.jspecify.annotations.NullMarked;
