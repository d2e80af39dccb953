package org.banyanhook.gateway.operation;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class PauseDetectorTest {

    private static final long INTERVAL_MILLIS = 200;

    private long nowMillis = Long.MAX_VALUE / 2_000_000;
    private final PauseDetector pauses =
            new PauseDetector(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis), INTERVAL_MILLIS);

    /**
     * A process that was paused across the signal counted its grace period from the end of the pause, and was killed.
     */
    @Test
    void signalAfterAPauseMayHaveBeenSentAtItsStart() {
        pauses.read();
        nowMillis += 600;
        assertThat(sentMillisAgo()).isEqualTo(600);
    }

    @Test
    void pauseIsRememberedUntilTheSignalIsDelivered() {
        pauses.read();
        nowMillis += 600;
        pauses.read();
        nowMillis += 100;
        assertThat(sentMillisAgo()).isEqualTo(700);
        nowMillis += 1;
        assertThat(sentMillisAgo()).isEqualTo(0);
    }

    @Test
    void usualDelaysAreNoPause() {
        for (int reading = 0; reading < 10; reading++) {
            nowMillis += 2 * INTERVAL_MILLIS - 1;
            assertThat(sentMillisAgo()).isEqualTo(0);
            pauses.read();
        }
    }

    private long sentMillisAgo() {
        return nowMillis - TimeUnit.NANOSECONDS.toMillis(pauses.earliestSendNanos());
    }
}
