/** Requests of callers and operators: checked, appended, and answered once their record is read. */
@NullMarked
package org.fescuehook.logic.control.request;

import org.jspecify.annotations.NullMarked;
