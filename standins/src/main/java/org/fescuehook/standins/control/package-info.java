/** The control port, by which tests set faults and read journals. */
@NullMarked
package org.fescuehook.standins.control;

import org.jspecify.annotations.NullMarked;
