package org.fescuehook.model.organisation;

import org.fescuehook.model.job.Shape;

/**
 * A shape of capacity that an organisation can always get back.
 *
 * @param name name of the guarantee, unique in the configuration
 * @param organisation organisation that holds the guarantee
 * @param shape the shape
 * @param count number of instances of the shape that are guaranteed at the same time, at least 1
 */
public record GuaranteedShape(String name, OrganisationId organisation, Shape shape, int count) {}
