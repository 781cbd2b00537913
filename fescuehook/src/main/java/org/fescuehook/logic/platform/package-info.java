/** Ports to the platform: the log service and the lagging list of VMs. */
@NullMarked
package org.fescuehook.logic.platform;

import org.jspecify.annotations.NullMarked;
