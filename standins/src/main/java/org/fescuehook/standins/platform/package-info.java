/**
 * Stand-ins for the users' platform: its store and its executors, which implement its published
 * protocol.
 */
@NullMarked
package org.fescuehook.standins.platform;

import org.jspecify.annotations.NullMarked;
