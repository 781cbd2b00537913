/**
 * Decisions about maintenance waves: which machine is maintained next, when its executor gets no
 * new runs, when its runs are stopped, and when maintenance begins.
 */
@NullMarked
package org.fescuehook.logic.batch.maintenance;

import org.jspecify.annotations.NullMarked;
