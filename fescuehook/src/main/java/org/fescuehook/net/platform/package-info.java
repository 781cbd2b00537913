/** Accesses the platform's log service and its list of VMs over HTTP. */
@NullMarked
package org.fescuehook.net.platform;

import org.jspecify.annotations.NullMarked;
