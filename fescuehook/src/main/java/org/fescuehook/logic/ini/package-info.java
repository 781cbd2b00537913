/**
 * INI text with the place of each section and key, typed values, and faults that name their place.
 */
@NullMarked
package org.fescuehook.logic.ini;

import org.jspecify.annotations.NullMarked;
