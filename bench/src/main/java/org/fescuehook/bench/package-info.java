/** Measurements and proofs, each a subcommand of one program. */
@NullMarked
package org.fescuehook.bench;

import org.jspecify.annotations.NullMarked;
