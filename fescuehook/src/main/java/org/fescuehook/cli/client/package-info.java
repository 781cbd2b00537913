/** HTTP client with which commands reach an entry VM. */
@NullMarked
package org.fescuehook.cli.client;

import org.jspecify.annotations.NullMarked;
