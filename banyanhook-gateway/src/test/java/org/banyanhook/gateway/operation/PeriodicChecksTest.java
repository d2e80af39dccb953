package org.banyanhook.gateway.operation;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class PeriodicChecksTest {

    /** The checks after a failed one were never performed while the failure lasted, and its fault was not written. */
    @Test
    void checksAfterAFailedOneArePerformed() {
        List<String> performed = new ArrayList<>();
        try (DecisionLog log = new DecisionLog("vm", OutputStream.nullOutputStream(), System::nanoTime)) {
            PeriodicChecks checks = new PeriodicChecks(
                    List.of(
                            () -> performed.add("first"),
                            () -> {
                                throw new IllegalStateException("expected by the test");
                            },
                            () -> {
                                throw new StackOverflowError("expected by the test");
                            },
                            () -> performed.add("last")),
                    log);
            checks.perform();
            checks.perform();
        }
        assertThat(performed).containsExactly("first", "last", "first", "last").inOrder();
    }
}
