/** Sends requests to executors over pooled HTTP/1.1 connections. */
@NullMarked
package org.fescuehook.net.executor;

import org.jspecify.annotations.NullMarked;
