/** Reads, checks and compares declarations. */
@NullMarked
package org.fescuehook.logic.configuration;

import org.jspecify.annotations.NullMarked;
