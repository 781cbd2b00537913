/** The HTTP/1.1 server that all stand-ins share. */
@NullMarked
package org.fescuehook.standins.http;

import org.jspecify.annotations.NullMarked;
