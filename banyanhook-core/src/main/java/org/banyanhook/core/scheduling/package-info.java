/** Decisions on where requests run, as functions of values: no clock, thread, socket or random source. */
@NullMarked
package org.banyanhook.core.scheduling;

import org.jspecify.annotations.NullMarked;
