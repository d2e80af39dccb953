package org.banyanhook.core.primary;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.banyanhook.core.primary.TestGroups.SECOND;
import static org.banyanhook.core.primary.TestGroups.fenced;
import static org.banyanhook.core.primary.TestGroups.primary;
import static org.banyanhook.core.primary.TestGroups.replica;

import java.util.HashMap;
import java.util.Map;
import org.banyanhook.core.primary.PromotionDecision.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class PrimaryFailureDetectorTest {

    private static final long START = 100 * SECOND;

    /**
     * Each peer is {@code domain=report} with u for unreachable, r for reachable and s for no answer. The proposer runs
     * in d1; the primary has failed {@code failures} probes, the first of them {@code millis} before the decision.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 0, 0, d0=u d2=u, NONE",
        "1, 2000, 0, d0=u d2=u, INVESTIGATE",
        "3, 500, 0, d0=u d2=u, INVESTIGATE",
        "3, 1200, 0, d0=u d2=u, PROPOSE",
        "3, 1200, 0, d0=s d2=u, PROPOSE",
        "3, 1200, 1, d0=u d2=u, INVESTIGATE",
        "3, 2600, 1, d0=u d2=u, PROPOSE",
        "5, 6000, 0, d0=s d2=s, INVESTIGATE",
        "5, 18000, 0, d0=r d2=r, INVESTIGATE",
        "5, 6000, 0, d0=r d2=u, PROPOSE",
        "5, 6000, 0, d0=r d1=u d1=u, INVESTIGATE",
        "5, 6000, 0, d0=r d2=s d1=u, INVESTIGATE",
        "5, 6000, 0, d1=u, PROPOSE",
        "5, 6000, 0, d1=r, INVESTIGATE",
        "5, 6000, 0, , INVESTIGATE",
        "9, 8200, 0, , PROPOSE",
    })
    void decidesByFailuresAndPeerReports(int failures, long millis, int rank, String peers, Kind expected) {
        PrimaryFailureDetector detector = new PrimaryFailureDetector();
        long end = START + millis * 1_000_000;
        GroupView view = TestGroups.view(
                primary("m0", 3, 10, START), replica("m1", 3, "m0", 10, end), replica("m2", 3, "m0", 9, end));
        detector.onView(view, START);
        for (int failure = 0; failure < failures; failure++) {
            detector.onOutcome("m0", false, START + failure);
        }
        Map<String, String> live = new HashMap<>();
        for (String peer : peers == null ? new String[0] : peers.split(" ", -1)) {
            String domain = peer.substring(0, 2);
            String name = "peer-" + live.size();
            live.put(name, domain);
            if (!peer.endsWith("s")) {
                detector.onPeerEvidence(name, domain, 3, peer.endsWith("u"), end);
            }
        }
        PromotionDecision decision = detector.decide(view, new ProposerContext(rank, "d1", live), end);
        assertWithMessage("%s", decision.reason()).that(decision.kind()).isEqualTo(expected);
    }

    @Test
    void doesNotProposeUnlessAMajorityAnswers() {
        PrimaryFailureDetector detector = new PrimaryFailureDetector();
        GroupView view = TestGroups.view(
                primary("m0", 3, 10, START), replica("m1", 3, "m0", 10, START), replica("m2", 3, "m0", 9, START));
        detector.onView(view, START);
        for (int failure = 0; failure < 9; failure++) {
            detector.onOutcome("m0", false, START);
        }
        assertDecision(detector, view, START + 15 * SECOND, Kind.INVESTIGATE);
    }

    @Test
    void proposesForAGroupWithoutPrimary() {
        PrimaryFailureDetector detector = new PrimaryFailureDetector();
        GroupView view = TestGroups.view(fenced("m0", 0, 0, 0, START), fenced("m1", 0, 0, 0, START));
        assertDecision(detector, view, START, Kind.INVESTIGATE);
        assertDecision(detector, view, START + SECOND, Kind.PROPOSE);
    }

    @Test
    void proposesWhenAMemberIsInALaterTerm() {
        PrimaryFailureDetector detector = new PrimaryFailureDetector();
        GroupView view = TestGroups.view(
                primary("m0", 3, 10, START + 4 * SECOND),
                replica("m1", 3, "m0", 10, START + 4 * SECOND),
                fenced("m2", 4, 3, 8, START + 4 * SECOND));
        assertDecision(detector, view, START, Kind.INVESTIGATE);
        assertDecision(detector, view, START + 5 * SECOND, Kind.PROPOSE);
    }

    @Test
    void anAnswerClearsTheFailures() {
        PrimaryFailureDetector detector = new PrimaryFailureDetector();
        GroupView view = TestGroups.view(primary("m0", 3, 10, START), replica("m1", 3, "m0", 10, START));
        detector.onView(view, START);
        detector.onOutcome("m0", false, START);
        detector.onOutcome("m0", true, START + 1);
        assertDecision(detector, view, START + SECOND, Kind.NONE);
    }

    private static void assertDecision(PrimaryFailureDetector detector, GroupView view, long now, Kind expected) {
        ProposerContext proposer = new ProposerContext(0, "d1", Map.of("peer", "d0"));
        PromotionDecision decision = detector.decide(view, proposer, now);
        assertWithMessage("%s", decision.reason()).that(decision.kind()).isEqualTo(expected);
    }
}
