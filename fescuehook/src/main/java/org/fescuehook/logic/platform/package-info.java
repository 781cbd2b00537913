/**
 * Ports to the platform: its log service, and its list of VMs, which lags behind the actual state.
 */
@NullMarked
package org.fescuehook.logic.platform;

import org.jspecify.annotations.NullMarked;
