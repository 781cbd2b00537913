/**
 * The scheduling policy: which waiting jobs start on which workers, and which borrowers are
 * preempted.
 */
@NullMarked
package org.fescuehook.logic.scheduling;

import org.jspecify.annotations.NullMarked;
