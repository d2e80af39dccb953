package org.banyanhook.core.primary;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.banyanhook.core.replication.LogPosition;

/** Records the acknowledged operations and the promotions of a run, and reports those that violate the guarantees. */
final class PromotionHistory {

    /** The value of an operation that is a read. */
    static final long READ = -1;

    final List<String> violations = new ArrayList<>();

    private final List<AcknowledgedWrite> writes = new ArrayList<>();
    private final List<Operation> reads = new ArrayList<>();
    private final List<Promotion> promotions = new ArrayList<>();

    /** A commit or read at a position of a member's log, and the step of the run at which it happened. */
    record Operation(LogPosition position, long value, int step) {}

    private record AcknowledgedWrite(Operation write, int step) {}

    private record Promotion(long term, String member, int step, List<FakeMember.Entry> log) {}

    void recordAcknowledged(Operation operation, int step) {
        if (operation.value() == READ) {
            reads.add(operation);
        } else {
            writes.add(new AcknowledgedWrite(operation, step));
        }
    }

    void recordPromotion(FakeMember member, int step) {
        promotions.add(new Promotion(member.term, member.name, step, List.copyOf(member.log)));
    }

    int acknowledgedWrites() {
        return writes.size();
    }

    int promotions() {
        return promotions.size();
    }

    int confirmedReads() {
        return reads.size();
    }

    void checkGuarantees(Collection<FakeMember> members) {
        checkTerms();
        writes.forEach(acknowledged -> promotions.forEach(promoted -> checkKept(acknowledged.write(), promoted)));
        reads.forEach(this::checkRead);
        Optional<FakeMember> last = members.stream()
                .filter(member -> member.role == MemberRole.PRIMARY)
                .max(Comparator.comparingLong(member -> member.term));
        if (last.isEmpty()) {
            violations.add("no primary after all faults ended");
            return;
        }
        writes.stream()
                .filter(acknowledged -> !containsWrite(last.get().log, acknowledged.write()))
                .forEach(acknowledged -> violations.add("the last primary lost " + acknowledged));
    }

    private void checkTerms() {
        Map<Long, String> primaryOfTerm = new HashMap<>();
        for (Promotion promoted : promotions) {
            String other = primaryOfTerm.putIfAbsent(promoted.term(), promoted.member());
            if (other != null && !other.equals(promoted.member())) {
                violations.add("term " + promoted.term() + " has primaries " + other + " and " + promoted.member());
            }
        }
    }

    private void checkKept(Operation write, Promotion promoted) {
        if (write.position().term() >= promoted.term()) {
            return;
        }
        if (!containsWrite(promoted.log(), write)) {
            violations.add("primary of term " + promoted.term() + " lost " + write);
        }
        if (promoted.step() < write.step()) {
            violations.add("superseded by term " + promoted.term() + " before the commit of " + write);
        }
    }

    private void checkRead(Operation read) {
        writes.stream()
                .filter(acknowledged -> acknowledged.step() < read.step())
                .filter(acknowledged ->
                        !read.position().covers(acknowledged.write().position()))
                .forEach(acknowledged -> violations.add(read + " did not see " + acknowledged));
    }

    private static boolean containsWrite(List<FakeMember.Entry> log, Operation write) {
        int index = (int) write.position().position() - 1;
        return index < log.size()
                && log.get(index).equals(new FakeMember.Entry(write.position().term(), write.value()));
    }
}
