package org.banyanhook.daemon.execution;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToIntFunction;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.core.configuration.ClientAccount;
import org.banyanhook.core.configuration.Database;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.retry.RetryBudget;
import org.banyanhook.daemon.backend.BackendConnectionPool;
import org.banyanhook.daemon.backend.LeaseRequest;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.primary.PositionConfirmer;
import org.banyanhook.daemon.primary.PrimaryDirectory;
import org.jspecify.annotations.Nullable;

/**
 * Executes statements over this daemon's own connections, as a home of the database.
 *
 * <p>A write is acknowledged, and the data of a read is returned, only after its log position has been confirmed. Safe
 * for use by several threads.
 */
public final class LocalStatementExecutor implements StatementExecutor {

    private static final int DEFAULT_WEIGHT = 1;
    private static final double RETRIES_PER_REQUEST = 0.1;
    private static final double MAXIMUM_SAVED_RETRIES = 10;

    private final ConfigurationSource configuration;
    private final PrimaryDirectory directory;
    private final PositionConfirmer confirmer;
    private final BackendConnectionPool pool;
    private final ToIntFunction<Database> connectionShare;
    private final MemberChooser chooser;
    private final MeterRegistry meters;
    private final RetryBudget retryBudget = new RetryBudget(RETRIES_PER_REQUEST, MAXIMUM_SAVED_RETRIES);

    private LocalStatementExecutor(Builder builder) {
        this.configuration = requireNonNull(builder.configuration, "configuration");
        this.directory = requireNonNull(builder.directory, "directory");
        this.confirmer = requireNonNull(builder.confirmer, "confirmer");
        this.pool = requireNonNull(builder.pool, "pool");
        this.connectionShare = requireNonNull(builder.connectionShare, "connectionShare");
        this.chooser = requireNonNull(builder.chooser, "chooser");
        this.meters = requireNonNull(builder.meters, "meters");
    }

    /** Returns a new builder. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public CompletableFuture<StatementOutcome> execute(StatementCommand command) {
        recordRequest(command.account());
        try {
            Database database = chooser.database(command.database());
            return new StatementExecution(this, command, database).start();
        } catch (RefusalException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
    }

    PrimaryDirectory directory() {
        return directory;
    }

    PositionConfirmer confirmer() {
        return confirmer;
    }

    BackendConnectionPool pool() {
        return pool;
    }

    MemberChooser chooser() {
        return chooser;
    }

    boolean tryAcquireRetry(String account) {
        synchronized (retryBudget) {
            return retryBudget.tryAcquireRetry(account);
        }
    }

    int connectionShare(Database database) {
        return connectionShare.applyAsInt(database);
    }

    LeaseRequest leaseRequest(StatementCommand command, MemberChoice choice, boolean fresh) {
        return leaseRequest(choice.database(), choice.member(), command.account(), command.deadlineNanos(), fresh);
    }

    LeaseRequest leaseRequest(
            Database database, BackendServer member, String account, long deadlineNanos, boolean fresh) {
        int weight = configuration
                .current()
                .account(account)
                .map(ClientAccount::weight)
                .orElse(DEFAULT_WEIGHT);
        int share = connectionShare(database);
        return new LeaseRequest(database.name(), member, share, account, weight, deadlineNanos, fresh);
    }

    private void recordRequest(String account) {
        synchronized (retryBudget) {
            retryBudget.recordRequest(account);
        }
    }

    void countRead(String database, boolean replica) {
        String servedBy = replica ? "replica" : "primary";
        meters.counter("banyanhook.reads", "database", database, "served.by", servedBy)
                .increment();
    }

    /** Builds a {@link LocalStatementExecutor}. Not safe for use by several threads. */
    public static final class Builder {
        private @Nullable ConfigurationSource configuration;
        private @Nullable PrimaryDirectory directory;
        private @Nullable PositionConfirmer confirmer;
        private @Nullable BackendConnectionPool pool;
        private @Nullable ToIntFunction<Database> connectionShare;
        private @Nullable MemberChooser chooser;
        private @Nullable MeterRegistry meters;

        private Builder() {}

        /** Sets the source of the configuration. */
        public Builder configuration(ConfigurationSource value) {
            this.configuration = value;
            return this;
        }

        /** Sets the directory of primaries and replicas. */
        public Builder directory(PrimaryDirectory value) {
            this.directory = value;
            return this;
        }

        /** Sets the confirmer of log positions. */
        public Builder confirmer(PositionConfirmer value) {
            this.confirmer = value;
            return this;
        }

        /** Sets the pool from which connections are leased. */
        public Builder pool(BackendConnectionPool value) {
            this.pool = value;
            return this;
        }

        /** Sets the function that computes how many connections this daemon may have to one member of a database. */
        public Builder connectionShare(ToIntFunction<Database> value) {
            this.connectionShare = value;
            return this;
        }

        /** Sets the chooser of members. */
        public Builder chooser(MemberChooser value) {
            this.chooser = value;
            return this;
        }

        /** Sets the registry for metrics. */
        public Builder meters(MeterRegistry value) {
            this.meters = value;
            return this;
        }

        /** Creates the executor. */
        public LocalStatementExecutor build() {
            return new LocalStatementExecutor(this);
        }
    }
}
