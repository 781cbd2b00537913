/** How entry VMs pass calls about batch jobs to the owner. */
@NullMarked
package org.fescuehook.net.batch;

import org.jspecify.annotations.NullMarked;
