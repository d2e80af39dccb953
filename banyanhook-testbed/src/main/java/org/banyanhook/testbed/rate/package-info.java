/** Runs the rate decisions of many entry VMs under faults, and compares them with other ways to share a rate. */
@NullMarked
package org.banyanhook.testbed.rate;

import org.jspecify.annotations.NullMarked;
