/**
 * The leader's control of workers and hosts: starts, monitors and stops runs under leases, sizes
 * pools, and carries out maintenance waves.
 */
@NullMarked
package org.verbenawheel.execution;

import org.jspecify.annotations.NullMarked;
