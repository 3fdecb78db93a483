/** Experiments on what membership costs and how soon it is whole, over loopback connections. */
@NullMarked
package org.verbenawheel.spread;

import org.jspecify.annotations.NullMarked;
