package org.banyanhook.testbed.capacity;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.banyanhook.core.configuration.ConfigurationState;
import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.key.KeyRegistry;
import org.banyanhook.daemon.configuration.ConfigurationCodec;
import org.banyanhook.daemon.configuration.ConfigurationDocument;
import org.banyanhook.daemon.configuration.ConfigurationFormatException;

/** What taking over a new version of the configuration costs, and how large the document is. */
final class ConfigurationExperiments {

    private static final double CHANGES_PER_SECOND = FleetShapes.TARGET_CHANGES_PER_DAY / 86_400;
    private static final int ACCOUNTS = 64;

    private ConfigurationExperiments() {}

    static List<Experiment> all() {
        return List.of(new Experiment(
                "relay of configuration",
                "decode a new version, put it in force and pass it on once",
                "databases",
                List.of(300, 900, 2_100),
                FleetShapes.TARGET_DATABASES,
                CHANGES_PER_SECOND,
                (size, seed) -> {
                    String text = new ConfigurationCodec()
                            .encode(FleetShapes.configuration(size, ACCOUNTS))
                            .text();
                    return round -> adopt(text);
                }));
    }

    private static long adopt(String text) {
        try {
            ConfigurationDocument document = new ConfigurationCodec().decode(text);
            ConfigurationState state = new ConfigurationState();
            state.recordDocument(document.configuration());
            FleetConfiguration effective = state.effective();
            KeyRegistry.of(effective);
            return text.getBytes(StandardCharsets.UTF_8).length;
        } catch (ConfigurationFormatException exception) {
            throw new IllegalStateException("the fleet's own document was refused", exception);
        }
    }
}
