/** Snapshots of the folded state: when to publish them and how to begin from one. */
@NullMarked
package org.fescuehook.logic.control.snapshot;

import org.jspecify.annotations.NullMarked;
