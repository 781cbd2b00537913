/** Division of the executors' slots and connections over the entry VMs. */
@NullMarked
package org.fescuehook.logic.control.shares;

import org.jspecify.annotations.NullMarked;
