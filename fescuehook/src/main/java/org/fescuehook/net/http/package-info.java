/** A small HTTP/1.1 client over Netty's codec, shared by the adapters. */
@NullMarked
package org.fescuehook.net.http;

import org.jspecify.annotations.NullMarked;
