/** What the fleet is made of: racks, failure domains, workers and executors, as declared. */
@NullMarked
package org.fescuehook.model.fleet;

import org.jspecify.annotations.NullMarked;
