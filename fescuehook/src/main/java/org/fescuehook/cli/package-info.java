/** The {@code fescuehook} program: finds the command and runs it. */
@NullMarked
package org.fescuehook.cli;

import org.jspecify.annotations.NullMarked;
