package org.banyanhook.core.store;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import org.banyanhook.core.store.StoreChangeLog.Change;
import org.banyanhook.core.store.StoreChangeLog.Coverage;
import org.junit.jupiter.api.Test;

/** Tests the cases that the model of readers does not distinguish. */
final class StoreChangeLogTest {

    private final StoreChangeLog<String> log = new StoreChangeLog<>(2, 1_000);

    /** A late answer to a watch that was sent again took the log back to an older revision. */
    @Test
    void lateAnswerIsIgnored() {
        append(5, 7, 7);
        append(5, 6, 6);
        assertThat(log.since(revision(1, 6), 1, 0).changes()).containsExactly("7");
        assertThat(log.since(revision(1, 7), 1, 0).coverage()).isEqualTo(Coverage.COMPLETE);
    }

    /** A request from before the oldest change that is kept would be answered with a gap. */
    @Test
    void removedChangesAreNotSkipped() {
        append(5, 8, 6, 7, 8);
        assertThat(log.since(revision(1, 5), 1, 0).coverage()).isEqualTo(Coverage.UNAVAILABLE);
        assertThat(log.since(revision(1, 6), 1, 0).changes())
                .containsExactly("7", "8")
                .inOrder();
    }

    /** Changes of an older era, or from before a pause, must not be passed on. */
    @Test
    void olderErasAndPausesMakeTheLogUnavailable() {
        append(5, 7, 7);
        assertThat(log.since(revision(1, 6), 2, 0).coverage()).isEqualTo(Coverage.UNAVAILABLE);
        assertThat(log.since(revision(2, 6), 2, 0).coverage()).isEqualTo(Coverage.UNAVAILABLE);
        log.recordPause(1);
        assertThat(log.since(revision(1, 6), 1, 1).coverage()).isEqualTo(Coverage.UNAVAILABLE);
    }

    private void append(long after, long upTo, long... changed) {
        List<Change<String>> changes = Arrays.stream(changed)
                .mapToObj(number -> new Change<>(revision(1, number), 10, Long.toString(number)))
                .toList();
        log.append(revision(1, after), revision(1, upTo), changes, 0);
    }

    private static StoreRevision revision(long era, long number) {
        return new StoreRevision(era, number);
    }
}
