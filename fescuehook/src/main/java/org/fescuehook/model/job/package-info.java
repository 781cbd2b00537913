/** Gang jobs, their shapes and attempts. */
@NullMarked
package org.fescuehook.model.job;

import org.jspecify.annotations.NullMarked;
