/** Adapters between the logic and the network. */
@NullMarked
package org.fescuehook.net;

import org.jspecify.annotations.NullMarked;
