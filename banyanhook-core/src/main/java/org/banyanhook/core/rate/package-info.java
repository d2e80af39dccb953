/** Fleet-wide rate limiting of client accounts with token buckets whose tokens can be transferred between entry VMs. */
@NullMarked
package org.banyanhook.core.rate;

import org.jspecify.annotations.NullMarked;
