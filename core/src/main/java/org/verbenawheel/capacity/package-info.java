/**
 * Demand and capacity: estimates the demand for each service and decides which spare hosts to power
 * on or lend to keep each service within its availability budget.
 */
@NullMarked
package org.verbenawheel.capacity;

import org.jspecify.annotations.NullMarked;
