/** The program of an entry VM: composition, threads, start and graceful stop. */
@NullMarked
package org.fescuehook.entry;

import org.jspecify.annotations.NullMarked;
