/** Forwards calls about batch jobs from any entry VM to the owner. */
@NullMarked
package org.fescuehook.net.batch;

import org.jspecify.annotations.NullMarked;
