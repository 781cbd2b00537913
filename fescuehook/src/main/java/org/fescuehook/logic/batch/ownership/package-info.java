/** Claims, heartbeats and the loss of ownership. */
@NullMarked
package org.fescuehook.logic.batch.ownership;

import org.jspecify.annotations.NullMarked;
