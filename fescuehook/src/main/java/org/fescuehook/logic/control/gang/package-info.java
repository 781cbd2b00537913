/** Start, renewal and end of gangs, as the owner and, in a log outage, its stand-in drive them. */
@NullMarked
package org.fescuehook.logic.control.gang;

import org.jspecify.annotations.NullMarked;
