/** Encoding and decoding of records of the control stream. */
@NullMarked
package org.fescuehook.logic.control.record;

import org.jspecify.annotations.NullMarked;
