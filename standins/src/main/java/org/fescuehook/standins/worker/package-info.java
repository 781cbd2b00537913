/** Stand-ins for the backend servers of gang jobs. */
@NullMarked
package org.fescuehook.standins.worker;

import org.jspecify.annotations.NullMarked;
