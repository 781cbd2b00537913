/** Opening of ports. */
@NullMarked
package org.fescuehook.net.listen;

import org.jspecify.annotations.NullMarked;
