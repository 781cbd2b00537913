/** The state that every entry VM folds from the control stream, and the rules of the fold. */
@NullMarked
package org.fescuehook.logic.control.state;

import org.jspecify.annotations.NullMarked;
