/** Terms and log positions of database groups. */
@NullMarked
package org.banyanhook.core.replication;

import org.jspecify.annotations.NullMarked;
