/** Reconstructs from the logs of the VMs what happened to batch jobs and where they lost time. */
@NullMarked
package org.fescuehook.logic.story;

import org.jspecify.annotations.NullMarked;
