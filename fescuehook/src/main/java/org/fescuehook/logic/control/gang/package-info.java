/**
 * Start, renewal and end of gangs, by the owner or, during an outage of the log, by the VM that
 * renews in its place.
 */
@NullMarked
package org.fescuehook.logic.control.gang;

import org.jspecify.annotations.NullMarked;
