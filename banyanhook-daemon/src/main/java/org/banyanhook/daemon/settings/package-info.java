/** Settings of one daemon, loaded from a YAML file and validated. */
@NullMarked
package org.banyanhook.daemon.settings;

import org.jspecify.annotations.NullMarked;
