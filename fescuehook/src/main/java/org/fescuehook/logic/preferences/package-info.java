/** Reads and checks the settings of entry VMs and of VMs that schedule batch jobs. */
@NullMarked
package org.fescuehook.logic.preferences;

import org.jspecify.annotations.NullMarked;
