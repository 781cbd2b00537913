/** Heartbeats of the other entry VMs, and the readiness of this VM. */
@NullMarked
package org.fescuehook.logic.membership;

import org.jspecify.annotations.NullMarked;
