/** Organisations and the shapes of capacity that they are guaranteed. */
@NullMarked
package org.fescuehook.model.organisation;

import org.jspecify.annotations.NullMarked;
