/**
 * The users' platform: its store, its executors and its callers' protocol, each translated to and
 * from the product's own types. Nothing outside this package knows a name of the platform's
 * protocol, and nothing in it decides.
 */
@NullMarked
package org.fescuehook.platform;

import org.jspecify.annotations.NullMarked;
