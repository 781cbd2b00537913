/** Ordered when-then rules over jobs. */
@NullMarked
package org.fescuehook.model.rule;

import org.jspecify.annotations.NullMarked;
