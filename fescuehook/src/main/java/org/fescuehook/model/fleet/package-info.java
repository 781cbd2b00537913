/** The declared fleet: racks, failure domains, workers and executors. */
@NullMarked
package org.fescuehook.model.fleet;

import org.jspecify.annotations.NullMarked;
