/** Serves callers over HTTP/1.1: short requests for backend servers, and jobs. */
@NullMarked
package org.fescuehook.net.caller;

import org.jspecify.annotations.NullMarked;
