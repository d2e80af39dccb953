/** A small JSON server on Jetty that the stand-ins share. */
@NullMarked
package org.banyanhook.testbed.http;

import org.jspecify.annotations.NullMarked;
