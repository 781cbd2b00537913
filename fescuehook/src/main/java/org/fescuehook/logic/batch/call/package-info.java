/** Calls about batch jobs and their answers. */
@NullMarked
package org.fescuehook.logic.batch.call;

import org.jspecify.annotations.NullMarked;
