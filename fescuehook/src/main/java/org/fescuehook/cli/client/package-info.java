/** HTTP client through which commands call an entry VM. */
@NullMarked
package org.fescuehook.cli.client;

import org.jspecify.annotations.NullMarked;
