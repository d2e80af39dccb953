package org.banyanhook.daemon.configuration;

import static com.google.common.base.Preconditions.checkState;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.List;
import org.banyanhook.core.key.KeyPolicy;
import org.banyanhook.daemon.membership.EntryVm;
import org.banyanhook.daemon.membership.MembershipSource;
import org.banyanhook.daemon.peer.PeerMessenger;
import org.banyanhook.daemon.platform.PlatformClient;
import org.jspecify.annotations.Nullable;

/** Builds a {@link ConfigurationController}. Not safe for use by several threads. */
public final class ConfigurationControllerBuilder {

    private final EntryVm self;
    private ImmutableList<String> seeds = ImmutableList.of();
    private MeterRegistry meterRegistry = new SimpleMeterRegistry();
    private KeyPolicy keyPolicy = KeyPolicy.REFUSE;
    private @Nullable PlatformClient platform;
    private @Nullable PeerMessenger messenger;
    private @Nullable MembershipSource membership;

    ConfigurationControllerBuilder(EntryVm self) {
        this.self = requireNonNull(self, "self");
    }

    /** Sets the client of the platform's service. Required. */
    public ConfigurationControllerBuilder platform(PlatformClient value) {
        this.platform = requireNonNull(value, "platform");
        return this;
    }

    /** Sets the messenger that carries requests to peers. Required. */
    public ConfigurationControllerBuilder messenger(PeerMessenger value) {
        this.messenger = requireNonNull(value, "messenger");
        return this;
    }

    /** Sets the source of live entry VMs. Required. */
    public ConfigurationControllerBuilder membership(MembershipSource value) {
        this.membership = requireNonNull(value, "membership");
        return this;
    }

    /** Sets the addresses of peers to request the configuration from before membership lists any. */
    public ConfigurationControllerBuilder seeds(List<String> value) {
        this.seeds = ImmutableList.copyOf(value);
        return this;
    }

    /** Sets how requests with a key are handled while this failure domain is isolated. */
    public ConfigurationControllerBuilder keyPolicy(KeyPolicy value) {
        this.keyPolicy = requireNonNull(value, "keyPolicy");
        return this;
    }

    /** Sets the registry for the gauge of the configuration version. */
    public ConfigurationControllerBuilder meterRegistry(MeterRegistry value) {
        this.meterRegistry = requireNonNull(value, "meterRegistry");
        return this;
    }

    /**
     * Creates a controller that is not yet started.
     *
     * @throws IllegalStateException if a required property is not set
     */
    public ConfigurationController build() {
        return new ConfigurationController(this);
    }

    EntryVm self() {
        return self;
    }

    ImmutableList<String> seeds() {
        return seeds;
    }

    KeyPolicy keyPolicy() {
        return keyPolicy;
    }

    MeterRegistry meterRegistry() {
        return meterRegistry;
    }

    PlatformClient platform() {
        return requireSet(platform, "platform");
    }

    PeerMessenger messenger() {
        return requireSet(messenger, "messenger");
    }

    MembershipSource membership() {
        return requireSet(membership, "membership");
    }

    private static <T> T requireSet(@Nullable T value, String name) {
        checkState(value != null, "%s must be set before build()", name);
        return requireNonNull(value);
    }
}
