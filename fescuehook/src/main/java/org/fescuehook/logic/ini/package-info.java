/**
 * Parses INI text into sections and typed values; every section, key and fault has its location.
 */
@NullMarked
package org.fescuehook.logic.ini;

import org.jspecify.annotations.NullMarked;
