/** Short requests: claims, choice of executor, limits, retries. */
@NullMarked
package org.fescuehook.logic.dispatch;

import org.jspecify.annotations.NullMarked;
