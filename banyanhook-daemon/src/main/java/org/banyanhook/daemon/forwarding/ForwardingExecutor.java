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
 * Executes statements at a home of their database: locally if this entry VM is a home, otherwise over a peer link.
 *
 * <p>The caller's key is never sent to another entry VM. Safe for use by several threads.
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

    /** Returns a new builder. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public CompletableFuture<StatementOutcome> execute(StatementCommand command) {
        List<EntryVm> candidates = homes.homes(command.database());
        if (candidates.isEmpty()) {
            return CompletableFuture.failedFuture(RefusalException.notRun(
                    RefusalKind.FAILURE_DOMAIN_TAKEN_OUT,
                    "No live entry VM accepts new requests for database " + command.database() + "."));
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

        /** Sets the directory of homes. */
        public Builder homes(HomeDirectory value) {
            this.homes = value;
            return this;
        }

        /** Sets the executor for statements on databases that this entry VM is a home of. */
        public Builder local(StatementExecutor value) {
            this.local = value;
            return this;
        }

        /** Sets the messenger for requests to other daemons. */
        public Builder messenger(PeerMessenger value) {
            this.messenger = value;
            return this;
        }

        /** Sets the source of the configuration. */
        public Builder configuration(ConfigurationSource value) {
            this.configuration = value;
            return this;
        }

        /** Sets the registry for metrics. */
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
