package org.banyanhook.daemon.administration;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.core.key.KeyHashes;
import org.banyanhook.daemon.settings.OperatorKey;
import org.banyanhook.daemon.settings.OperatorRole;
import org.jspecify.annotations.Nullable;

/** Authenticates operators by their keys. Immutable. */
final class OperatorAuthenticator {

    private static final String SCHEME_PREFIX = "Bearer ";

    private final List<OperatorKey> keys;

    OperatorAuthenticator(List<OperatorKey> keys) {
        this.keys = ImmutableList.copyOf(keys);
    }

    /**
     * Authenticates the operator of a request.
     *
     * @param authorization the value of the Authorization header, or null if there is none
     * @return the operator
     * @throws RefusalException if the header has no key, or the key belongs to no operator
     */
    OperatorKey authenticate(@Nullable String authorization) throws RefusalException {
        if (authorization == null || !authorization.regionMatches(true, 0, SCHEME_PREFIX, 0, SCHEME_PREFIX.length())) {
            throw RefusalException.notRun(RefusalKind.KEY_MISSING, "The request has no operator key.");
        }
        String hash =
                KeyHashes.hash(authorization.substring(SCHEME_PREFIX.length()).trim());
        OperatorKey found = null;
        for (OperatorKey key : keys) {
            if (KeyHashes.equalInConstantTime(key.hash(), hash)) {
                found = key;
            }
        }
        if (found == null) {
            throw RefusalException.notRun(
                    RefusalKind.KEY_UNKNOWN, "The operator key is not in the settings of this entry VM.");
        }
        return found;
    }

    static void requireRole(OperatorKey operator, OperatorRole role) throws RefusalException {
        if (!operator.role().includes(role)) {
            throw RefusalException.notRun(
                    RefusalKind.OPERATOR_FORBIDDEN,
                    "The command requires the role " + role + ", and operator " + operator.name() + " has "
                            + operator.role() + ".");
        }
    }
}
