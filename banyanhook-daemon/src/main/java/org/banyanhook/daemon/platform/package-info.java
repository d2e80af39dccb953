/** Client of the platform's service, which stores values and lists virtual machines. */
@NullMarked
package org.banyanhook.daemon.platform;

import org.jspecify.annotations.NullMarked;
