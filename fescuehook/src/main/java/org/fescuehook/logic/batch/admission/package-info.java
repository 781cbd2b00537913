/**
 * Which calls are refused, when their callers shall retry, and in which order they are admitted.
 */
@NullMarked
package org.fescuehook.logic.batch.admission;

import org.jspecify.annotations.NullMarked;
