/**
 * The state that every entry VM derives from the control stream, and the rules by which records
 * change it.
 */
@NullMarked
package org.fescuehook.logic.control.state;

import org.jspecify.annotations.NullMarked;
