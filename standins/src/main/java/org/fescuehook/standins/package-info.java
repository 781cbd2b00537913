/** Stand-ins for the platform and the backend servers, for tests and measurements. */
@NullMarked
package org.fescuehook.standins;

import org.jspecify.annotations.NullMarked;
