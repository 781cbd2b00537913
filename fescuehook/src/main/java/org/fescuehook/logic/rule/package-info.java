/** Matching of when-then rules, and the search for rules that can never match. */
@NullMarked
package org.fescuehook.logic.rule;

import org.jspecify.annotations.NullMarked;
