/** Sessions of callers: values, prepared names, transactions and the answers to statements. */
@NullMarked
package org.banyanhook.gateway.session;

import org.jspecify.annotations.NullMarked;
