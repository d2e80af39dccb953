package org.banyanhook.daemon.forwarding;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;
import org.banyanhook.daemon.configuration.ConfigurationSource;
import org.banyanhook.daemon.execution.StatementCommand;
import org.banyanhook.daemon.execution.StatementExecutor;
import org.banyanhook.daemon.execution.StatementOutcome;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.jspecify.annotations.Nullable;

/**
 * Runs statements at a home of their database: here if this entry VM is one, else over a peer link.
 *
 * <p>The caller's key never leaves the entry VM that the caller is connected to. Safe for use by several threads.
 */
public final class ForwardingExecutor implements StatementExecutor {

    private final HomeDirectory homes;
    private final StatementExecutor local;
    private final PeerMessenger messenger;
    private final ConfigurationSource configuration;
    private final MeterRegistry meters;

    private ForwardingExecutor(Builder builder) {
        this.homes = requireNonNull(builder.homes, "homes");
        this.local = requireNonNull(builder.local, "local");
        this.messenger = requireNonNull(builder.messenger, "messenger");
        this.configuration = requireNonNull(builder.configuration, "configuration");
        this.meters = requireNonNull(builder.meters, "meters");
    }

    /** Starts the description of an executor. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public CompletableFuture<StatementOutcome> execute(StatementCommand command) {
        List<EntryVm> candidates = homes.homes(command.database());
        if (candidates.isEmpty()) {
            return CompletableFuture.failedFuture(RefusalException.notRun(
                    RefusalKind.FAILURE_DOMAIN_TAKEN_OUT,
                    "No live entry VM takes new work for database " + command.database() + "."));
        }
        return new StatementForwarding(this, command, candidates).start();
    }

    boolean isSelf(EntryVm home) {
        return home.name().equals(homes.selfName());
    }

    StatementExecutor local() {
        return local;
    }

    PeerMessenger messenger() {
        return messenger;
    }

    long configurationVersion() {
        return configuration.current().version();
    }

    void countForwarded(String database) {
        meters.counter("banyanhook.forwarded", "database", database).increment();
    }

    /** Builds a {@link ForwardingExecutor}. Not safe for use by several threads. */
    public static final class Builder {
        private @Nullable HomeDirectory homes;
        private @Nullable StatementExecutor local;
        private @Nullable PeerMessenger messenger;
        private @Nullable ConfigurationSource configuration;
        private @Nullable MeterRegistry meters;

        private Builder() {}

        /** Sets what knows the homes. */
        public Builder homes(HomeDirectory value) {
            this.homes = value;
            return this;
        }

        /** Sets what runs statements that this entry VM is a home for. */
        public Builder local(StatementExecutor value) {
            this.local = value;
            return this;
        }

        /** Sets the links to other daemons. */
        public Builder messenger(PeerMessenger value) {
            this.messenger = value;
            return this;
        }

        /** Sets what gives the configuration. */
        public Builder configuration(ConfigurationSource value) {
            this.configuration = value;
            return this;
        }

        /** Sets what receives the metrics. */
        public Builder meters(MeterRegistry value) {
            this.meters = value;
            return this;
        }

        /** Creates the executor. */
        public ForwardingExecutor build() {
            return new ForwardingExecutor(this);
        }
    }
}
