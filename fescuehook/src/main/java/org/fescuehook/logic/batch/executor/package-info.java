/** Tracks the executors: polls, leases, orders, reserved capacity and health. */
@NullMarked
package org.fescuehook.logic.batch.executor;

import org.jspecify.annotations.NullMarked;
