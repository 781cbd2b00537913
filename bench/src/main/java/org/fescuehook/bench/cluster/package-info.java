/** Entry VMs and stand-ins as processes of their own, started, broken and ended by the bench. */
@NullMarked
package org.fescuehook.bench.cluster;

import org.jspecify.annotations.NullMarked;
