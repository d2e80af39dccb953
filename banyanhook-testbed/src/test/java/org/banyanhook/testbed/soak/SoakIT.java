package org.banyanhook.testbed.soak;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short run of the soak with fixed seeds; each seed that ever broke a promise stays here, with its cause. */
final class SoakIT {

    private static final int SECONDS = 12;

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    /**
     * Seeds that broke a promise: 100 and 201 (a daemon whose watch had gone silent counted as in contact by its lease
     * and read at a replaced primary), 3006 (a primary whose new term a replica named first was not believed any more).
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 100, 201, 3006})
    void keepsThePromisesUnderRandomFaults(long seed) throws IOException, InterruptedException {
        SoakRun.Result result = new SoakRun(seed, SECONDS, folder).run();
        assertWithMessage("seed %s, faults %s", seed, result.faults())
                .that(result.violations())
                .isEmpty();
    }
}
