/**
 * Decides about batch jobs: one entry VM owns them, stores each decision and orders the executors.
 */
@NullMarked
package org.fescuehook.logic.batch;

import org.jspecify.annotations.NullMarked;
