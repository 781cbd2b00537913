/** Dispatch of short requests: claims of request ids, choice of executors, limits, and retries. */
@NullMarked
package org.fescuehook.logic.dispatch;

import org.jspecify.annotations.NullMarked;
