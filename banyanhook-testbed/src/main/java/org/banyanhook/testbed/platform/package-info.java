/** The stand-in of the platform's service. */
@NullMarked
package org.banyanhook.testbed.platform;

import org.jspecify.annotations.NullMarked;
