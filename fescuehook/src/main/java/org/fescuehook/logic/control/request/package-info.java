/**
 * Requests of callers and operators, which are checked, appended to the log, and answered once
 * their record is read back.
 */
@NullMarked
package org.fescuehook.logic.control.request;

import org.jspecify.annotations.NullMarked;
