/** Reads and checks the settings of an entry VM. */
@NullMarked
package org.fescuehook.logic.preferences;

import org.jspecify.annotations.NullMarked;
