/** Text traces of the events and commands of a decision core, and their replay. */
@NullMarked
package org.fescuehook.logic.control.trace;

import org.jspecify.annotations.NullMarked;
