package org.fescuehook.model.organisation;

import org.fescuehook.model.job.Shape;

/**
 * A shape of capacity that an organisation can always get back.
 *
 * @param name name of the guarantee, unique in the configuration
 * @param organisation holder
 * @param shape the shape
 * @param count how many of that shape at once, at least 1
 */
public record GuaranteedShape(String name, OrganisationId organisation, Shape shape, int count) {}
