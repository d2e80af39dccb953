package org.banyanhook.core.configuration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against entry VMs that an update does not reach or reaches twice, and against unstable watchers. */
class DisseminationTreeTest {

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 9, 733})
    void reachesEveryEntryVmOnceFromTheRoot(int size) {
        for (long seed = 1; seed <= 20; seed++) {
            List<String> names = names(size);
            Collections.shuffle(names, new Random(seed));
            DisseminationTree tree = DisseminationTree.of(names, seed);
            List<String> reached = new ArrayList<>(tree.first(1));
            for (int index = 0; index < reached.size(); index++) {
                List<String> children = tree.children(reached.get(index));
                assertWithMessage("seed %s", seed).that(children.size()).isAtMost(DisseminationTree.MAXIMUM_CHILDREN);
                reached.addAll(children);
            }
            assertWithMessage("seed %s", seed).that(reached).containsExactlyElementsIn(names);
        }
    }

    @Test
    void isTheSameOnEveryEntryVmAndShuffledPerUpdate() {
        List<String> names = names(50);
        List<String> reversed = new ArrayList<>(names);
        Collections.reverse(reversed);

        assertThat(DisseminationTree.of(names, 7).first(50))
                .isEqualTo(DisseminationTree.of(reversed, 7).first(50));
        assertThat(DisseminationTree.of(names, 7).first(50))
                .isNotEqualTo(DisseminationTree.of(names, 8).first(50));
        assertThat(DisseminationTree.of(names, 7).children("stranger")).isEmpty();
    }

    @Test
    void replacesOnlyTheWatcherThatLeft() {
        List<String> names = names(40);
        Set<String> before = new HashSet<>(WatcherSelection.select(names));
        assertThat(before).hasSize(WatcherSelection.WATCHERS_PER_FAILURE_DOMAIN);
        String gone = WatcherSelection.select(names).get(0);
        names.remove(gone);
        List<String> after = WatcherSelection.select(names);
        before.remove(gone);
        assertThat(after).containsAtLeastElementsIn(before);
        assertThat(WatcherSelection.select(List.of("only"))).containsExactly("only");
    }

    private static List<String> names(int size) {
        return new ArrayList<>(
                IntStream.range(0, size).mapToObj(index -> "entry-" + index).toList());
    }
}
