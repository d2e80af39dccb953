/** Stand-ins, fault proxy and experiments. Never shipped in the product. */
@NullMarked
package org.banyanhook.testbed;

import org.jspecify.annotations.NullMarked;
