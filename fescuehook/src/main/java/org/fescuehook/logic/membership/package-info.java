/** Entry VMs and backend servers as seen from the list and from heartbeats. */
@NullMarked
package org.fescuehook.logic.membership;

import org.jspecify.annotations.NullMarked;
