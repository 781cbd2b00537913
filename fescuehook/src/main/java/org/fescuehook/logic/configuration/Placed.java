package org.fescuehook.logic.configuration;

import org.fescuehook.logic.ini.Place;

/**
 * A declared item with the place of its section.
 *
 * @param value the item
 * @param place where it is declared
 */
record Placed<T>(T value, Place place) {}
