/** Assembles the process of an entry VM: its components, threads, start and graceful stop. */
@NullMarked
package org.fescuehook.entry;

import org.jspecify.annotations.NullMarked;
