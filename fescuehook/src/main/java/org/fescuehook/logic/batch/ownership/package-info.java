/** Claims ownership, keeps it by heartbeats and detects its loss. */
@NullMarked
package org.fescuehook.logic.batch.ownership;

import org.jspecify.annotations.NullMarked;
