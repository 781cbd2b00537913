/** The operators' HTTP port. */
@NullMarked
package org.fescuehook.net.operator;

import org.jspecify.annotations.NullMarked;
