/**
 * The decision core, which applies the control stream and decides on ownership, gangs, slot shares
 * and configuration.
 */
@NullMarked
package org.fescuehook.logic.control;

import org.jspecify.annotations.NullMarked;
