/** The program: reads the command line and starts a command. */
@NullMarked
package org.fescuehook.cli;

import org.jspecify.annotations.NullMarked;
