/** Pooled HTTP/1.1 client towards executors. */
@NullMarked
package org.fescuehook.net.executor;

import org.jspecify.annotations.NullMarked;
