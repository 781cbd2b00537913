/** Provides a small HTTP/1.1 client, based on Netty's codec, for the platform and the workers. */
@NullMarked
package org.fescuehook.net.http;

import org.jspecify.annotations.NullMarked;
