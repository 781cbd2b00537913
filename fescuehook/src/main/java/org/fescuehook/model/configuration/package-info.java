/** Declarations of one configuration revision. */
@NullMarked
package org.fescuehook.model.configuration;

import org.jspecify.annotations.NullMarked;
