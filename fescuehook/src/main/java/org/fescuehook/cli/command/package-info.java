/** Commands of the {@code fescuehook} program, one class each. */
@NullMarked
package org.fescuehook.cli.command;

import org.jspecify.annotations.NullMarked;
