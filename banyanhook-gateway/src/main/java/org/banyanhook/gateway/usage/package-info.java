/** Counting of requests by client account, and the reports of the counts to the platform. */
@NullMarked
package org.banyanhook.gateway.usage;

import org.jspecify.annotations.NullMarked;
