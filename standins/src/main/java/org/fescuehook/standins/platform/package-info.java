/**
 * The users' platform: its store and its executors of tasks, which speak its published protocol.
 */
@NullMarked
package org.fescuehook.standins.platform;

import org.jspecify.annotations.NullMarked;
