/** Short requests, their outcomes and the reasons for refusing them. */
@NullMarked
package org.fescuehook.model.request;

import org.jspecify.annotations.NullMarked;
