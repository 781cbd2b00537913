/** The shared store as the decisions need it, and the group commit of what is stored. */
@NullMarked
package org.fescuehook.logic.batch.store;

import org.jspecify.annotations.NullMarked;
