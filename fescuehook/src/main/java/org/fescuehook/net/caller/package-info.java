/** HTTP/1.1 server towards callers: short requests and jobs. */
@NullMarked
package org.fescuehook.net.caller;

import org.jspecify.annotations.NullMarked;
