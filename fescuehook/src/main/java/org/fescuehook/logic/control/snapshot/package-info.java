/** Snapshots of the state: when to publish them and how to continue from one. */
@NullMarked
package org.fescuehook.logic.control.snapshot;

import org.jspecify.annotations.NullMarked;
