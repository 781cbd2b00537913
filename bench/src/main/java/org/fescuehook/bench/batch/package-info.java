/** What decisions about batch jobs cost, measured on the core alone. */
@NullMarked
package org.fescuehook.bench.batch;

import org.jspecify.annotations.NullMarked;
