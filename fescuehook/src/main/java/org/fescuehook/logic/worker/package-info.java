/** Port to workers: leases, start, renewals, stop. */
@NullMarked
package org.fescuehook.logic.worker;

import org.jspecify.annotations.NullMarked;
