/** Opens ports and prepares Netty for them. */
@NullMarked
package org.fescuehook.net.listen;

import org.jspecify.annotations.NullMarked;
