/** The protocol between entry VMs: heartbeats, outcomes of requests, configuration. */
@NullMarked
package org.fescuehook.net.peer;

import org.jspecify.annotations.NullMarked;
