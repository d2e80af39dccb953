package org.banyanhook.gateway.session;

import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.DatabaseRoute;
import org.banyanhook.gateway.backend.ConnectionLease;
import org.banyanhook.gateway.message.SessionError;
import org.jspecify.annotations.Nullable;

/** A transaction of a session. It holds a member connection from its first statement until it ends. */
final class OpenTransaction {

    private final boolean readOnly;
    private final DatabaseRoute route;
    private final ClientAccount account;
    private @Nullable ConnectionLease lease;
    private boolean begun;
    private boolean hasWritten;
    private @Nullable SessionError failure;
    private String failureDetail = "";
    private final OperationUsage usage;
    private long lastActivityNanos;

    OpenTransaction(boolean readOnly, DatabaseRoute route, ClientAccount account, OperationUsage usage, long nowNanos) {
        this.readOnly = readOnly;
        this.route = route;
        this.account = account;
        this.usage = usage;
        this.lastActivityNanos = nowNanos;
    }

    boolean readOnly() {
        return readOnly;
    }

    DatabaseRoute route() {
        return route;
    }

    ClientAccount clientAccount() {
        return account;
    }

    String account() {
        return account.name();
    }

    OperationUsage usage() {
        return usage;
    }

    int weight() {
        return account.weight();
    }

    @Nullable
    ConnectionLease lease() {
        return lease;
    }

    void lease(@Nullable ConnectionLease value) {
        lease = value;
    }

    /** Returns whether a statement has run in it, so that it cannot be begun again on another connection. */
    boolean hasBegun() {
        return begun;
    }

    void recordBegun() {
        begun = true;
    }

    boolean hasWritten() {
        return hasWritten;
    }

    void recordWrite() {
        hasWritten = true;
    }

    @Nullable
    SessionError failure() {
        return failure;
    }

    String failureDetail() {
        return failureDetail;
    }

    void recordFailure(SessionError error, String detail) {
        failure = error;
        failureDetail = detail;
    }

    long lastActivityNanos() {
        return lastActivityNanos;
    }

    void recordActivity(long nowNanos) {
        lastActivityNanos = nowNanos;
    }
}
