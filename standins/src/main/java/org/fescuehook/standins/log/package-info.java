/** Stand-in for the platform's append-only log service. */
@NullMarked
package org.fescuehook.standins.log;

import org.jspecify.annotations.NullMarked;
