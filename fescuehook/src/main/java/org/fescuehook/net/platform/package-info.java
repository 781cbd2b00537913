/** The platform's log service and list of VMs over HTTP. */
@NullMarked
package org.fescuehook.net.platform;

import org.jspecify.annotations.NullMarked;
