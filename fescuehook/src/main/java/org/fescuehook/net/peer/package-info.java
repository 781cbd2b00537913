/** Exchanges heartbeats, outcomes of requests and configurations between entry VMs. */
@NullMarked
package org.fescuehook.net.peer;

import org.jspecify.annotations.NullMarked;
