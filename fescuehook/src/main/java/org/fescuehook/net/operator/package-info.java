/** Serves operators over HTTP: health, metrics, status, configuration and drain. */
@NullMarked
package org.fescuehook.net.operator;

import org.jspecify.annotations.NullMarked;
