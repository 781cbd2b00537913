/** The {@code fescuehook} program: finds the command that the arguments name and runs it. */
@NullMarked
package org.fescuehook.cli;

import org.jspecify.annotations.NullMarked;
