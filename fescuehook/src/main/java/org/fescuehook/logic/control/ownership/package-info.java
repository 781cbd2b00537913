/**
 * Ownership of the decisions: claims, heartbeats and take-over between entry VMs, and the
 * monitoring of the log reader and of peers.
 */
@NullMarked
package org.fescuehook.logic.control.ownership;

import org.jspecify.annotations.NullMarked;
