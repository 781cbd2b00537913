/** Requests of callers about jobs: submission, cancellation, display and explanation. */
@NullMarked
package org.fescuehook.logic.control.job;

import org.jspecify.annotations.NullMarked;
