/** Chooses what starts where and what gives way. */
@NullMarked
package org.fescuehook.logic.batch.plan;

import org.jspecify.annotations.NullMarked;
