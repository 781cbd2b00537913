/** Which executors an external service allows to run a step. */
@NullMarked
package org.fescuehook.logic.batch.advice;

import org.jspecify.annotations.NullMarked;
