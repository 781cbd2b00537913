/** The story of one batch job, told from the logs of the VMs. */
@NullMarked
package org.fescuehook.logic.story;

import org.jspecify.annotations.NullMarked;
