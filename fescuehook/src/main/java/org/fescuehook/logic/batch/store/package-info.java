/** Access to the shared store as the decisions need it, and group commit of stored state. */
@NullMarked
package org.fescuehook.logic.batch.store;

import org.jspecify.annotations.NullMarked;
