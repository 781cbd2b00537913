/** The model of batch jobs: dependent steps of tasks that run on shared executors. */
@NullMarked
package org.fescuehook.model.batch;

import org.jspecify.annotations.NullMarked;
