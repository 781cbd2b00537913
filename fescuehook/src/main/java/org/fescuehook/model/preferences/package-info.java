/** Settings of one entry VM, one immutable object per concern. */
@NullMarked
package org.fescuehook.model.preferences;

import org.jspecify.annotations.NullMarked;
