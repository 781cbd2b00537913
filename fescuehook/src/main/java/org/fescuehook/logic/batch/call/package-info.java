/** What callers ask about batch jobs, and what they are told. */
@NullMarked
package org.fescuehook.logic.batch.call;

import org.jspecify.annotations.NullMarked;
