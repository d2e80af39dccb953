/** The configuration in force and the platform client that brings it. */
@NullMarked
package org.banyanhook.daemon.configuration;

import org.jspecify.annotations.NullMarked;
