/** What the owner knows of each executor: contact, lease, capacity in use, health. */
@NullMarked
package org.fescuehook.logic.batch.executor;

import org.jspecify.annotations.NullMarked;
