/** The exchange between daemons of what they have learned of the speed of members. */
@NullMarked
package org.banyanhook.gateway.capacity;

import org.jspecify.annotations.NullMarked;
