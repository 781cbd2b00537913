/** Stand-in for the platform's lagging list of VMs. */
@NullMarked
package org.fescuehook.standins.list;

import org.jspecify.annotations.NullMarked;
