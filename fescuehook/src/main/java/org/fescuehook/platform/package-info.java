/**
 * Adapter to the users' platform. It translates the protocols of the platform's store, executors,
 * advice service and callers to and from the scheduler's own types. Only this package knows the
 * names used in those protocols, and it makes no scheduling decisions.
 */
@NullMarked
package org.fescuehook.platform;

import org.jspecify.annotations.NullMarked;
