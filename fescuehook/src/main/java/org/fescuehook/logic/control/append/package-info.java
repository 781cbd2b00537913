/** Own records on their way to the log, until reading tells what became of them. */
@NullMarked
package org.fescuehook.logic.control.append;

import org.jspecify.annotations.NullMarked;
