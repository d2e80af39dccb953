/** A demonstration on a fleet of real processes. */
@NullMarked
package org.banyanhook.testbed.demo;

import org.jspecify.annotations.NullMarked;
