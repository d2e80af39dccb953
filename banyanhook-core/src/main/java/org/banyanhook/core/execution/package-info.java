/** The steps of running one statement on a member: phases, events, and what each event leads to. */
@NullMarked
package org.banyanhook.core.execution;

import org.jspecify.annotations.NullMarked;
