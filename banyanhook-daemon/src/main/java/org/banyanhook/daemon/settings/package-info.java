/** The settings of one daemon, read from a YAML file and checked. */
@NullMarked
package org.banyanhook.daemon.settings;

import org.jspecify.annotations.NullMarked;
