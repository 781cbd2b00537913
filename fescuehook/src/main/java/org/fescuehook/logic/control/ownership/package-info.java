/**
 * Which entry VM decides: claims, heartbeats, take-over, and what this VM knows of its reader and
 * peers.
 */
@NullMarked
package org.fescuehook.logic.control.ownership;

import org.jspecify.annotations.NullMarked;
