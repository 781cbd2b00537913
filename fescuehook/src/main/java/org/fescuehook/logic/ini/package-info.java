/** Parses INI text into sections and typed values; every section, key and fault knows its place. */
@NullMarked
package org.fescuehook.logic.ini;

import org.jspecify.annotations.NullMarked;
