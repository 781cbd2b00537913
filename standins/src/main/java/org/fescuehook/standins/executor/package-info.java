/** Stand-ins for the backend servers of short requests. */
@NullMarked
package org.fescuehook.standins.executor;

import org.jspecify.annotations.NullMarked;
