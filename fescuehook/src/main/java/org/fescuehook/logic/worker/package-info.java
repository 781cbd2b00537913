/** Port to workers: granting, starting, renewing and releasing leases. */
@NullMarked
package org.fescuehook.logic.worker;

import org.jspecify.annotations.NullMarked;
