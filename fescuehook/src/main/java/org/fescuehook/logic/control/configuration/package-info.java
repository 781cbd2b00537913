/** Publication of configurations and the configuration in force on this VM. */
@NullMarked
package org.fescuehook.logic.control.configuration;

import org.jspecify.annotations.NullMarked;
