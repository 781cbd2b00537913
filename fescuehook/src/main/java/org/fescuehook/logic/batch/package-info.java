/**
 * Schedules batch jobs: one entry VM owns them, stores each decision and sends orders to executors.
 */
@NullMarked
package org.fescuehook.logic.batch;

import org.jspecify.annotations.NullMarked;
