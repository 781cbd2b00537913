/** Sends commands to workers over HTTP. */
@NullMarked
package org.fescuehook.net.worker;

import org.jspecify.annotations.NullMarked;
