/** The control server, through which tests set faults and read journals. */
@NullMarked
package org.fescuehook.standins.control;

import org.jspecify.annotations.NullMarked;
