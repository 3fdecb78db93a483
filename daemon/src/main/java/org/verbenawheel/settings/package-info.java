/**
 * The settings of a process. One table of definitions per kind of process drives how settings are
 * read, checked and documented.
 */
@NullMarked
package org.verbenawheel.settings;

import org.jspecify.annotations.NullMarked;
