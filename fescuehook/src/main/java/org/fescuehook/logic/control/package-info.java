/**
 * The decision core: folds the control stream and decides on ownership, gangs and configuration.
 */
@NullMarked
package org.fescuehook.logic.control;

import org.jspecify.annotations.NullMarked;
