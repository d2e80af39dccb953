package org.banyanhook.testbed.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The term, role and log of one member of a database group. Safe for use by several threads.
 *
 * <p>A member takes part in one term at a time and refuses all work, replication included, of another.
 */
final class MemberState {

    /** What a member does in its term. */
    enum Role {
        PRIMARY,
        REPLICA,
        FENCED;

        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** Where a member stands. */
    record Standing(long term, Role role, LogPosition last, String primaryMember) {}

    /** An idempotency key of a client account. */
    record Idempotency(String account, String key) {}

    /** The outcome of a statement; {@code last} is the place of the member's last entry. */
    record Outcome(long term, LogPosition last, String result, boolean replayed) {}

    /** Entries after a place, or the position after which the asking member must drop its entries. */
    record LogSlice(boolean matches, long dropAfter, List<LogEntry> entries) {}

    private final String member;
    private final MemberLog log = new MemberLog();
    private long term;
    private Role role = Role.REPLICA;
    private String primaryMember = "";
    private boolean synchronizedWithPrimary;

    MemberState(String member) {
        this.member = member;
    }

    synchronized Standing standing() {
        return new Standing(term, role, log.last(), primaryMember);
    }

    synchronized List<LogEntry> entries() {
        return log.entries();
    }

    /** Takes a higher term and stops all work of older ones. */
    synchronized void fence(long newTerm) throws MemberException {
        if (newTerm <= term) {
            throw refusal(MemberException.Kind.STALE_TERM);
        }
        enter(newTerm, Role.FENCED, "");
    }

    /** Becomes primary of the term that this member is fenced at, and writes the first entry of the term. */
    synchronized void promote(long newTerm, long wallClockMillis) throws MemberException {
        if (newTerm == term && role == Role.PRIMARY) {
            return;
        }
        if (newTerm < term) {
            throw refusal(MemberException.Kind.STALE_TERM);
        }
        if (newTerm != term || role != Role.FENCED) {
            throw refusal(MemberException.Kind.NOT_FENCED);
        }
        enter(newTerm, Role.PRIMARY, member);
        append(wallClockMillis, null, List.of(), Map.of(), "");
    }

    /** Replicates from the primary of a term from now on. */
    synchronized void follow(long newTerm, String newPrimaryMember) throws MemberException {
        if (newTerm < term) {
            throw refusal(MemberException.Kind.STALE_TERM);
        }
        boolean primaryOfTerm = newTerm == term && role == Role.PRIMARY;
        if (primaryOfTerm || newPrimaryMember.equals(member)) {
            throw refusal(MemberException.Kind.NOT_FENCED);
        }
        boolean alreadyFollows = newTerm == term && role == Role.REPLICA && primaryMember.equals(newPrimaryMember);
        if (!alreadyFollows) {
            enter(newTerm, Role.REPLICA, newPrimaryMember);
        }
    }

    /** Returns entries after a place of the asking replica's log. */
    synchronized LogSlice slice(long askedTerm, LogPosition after, int limit) throws MemberException {
        requirePrimary(askedTerm);
        if (!log.holds(after)) {
            return new LogSlice(false, log.lastPossibleMatch(after), List.of());
        }
        return new LogSlice(true, after.position(), log.after(after.position(), limit));
    }

    /**
     * Takes what the primary answered to a request for entries.
     *
     * @param askedTerm the term that the request named
     * @param after the place that the request named
     * @param slice the answer
     * @return false if the member moved on meanwhile and took nothing
     */
    synchronized boolean replicate(long askedTerm, LogPosition after, LogSlice slice) {
        if (askedTerm != term || role != Role.REPLICA || !log.last().equals(after)) {
            return false;
        }
        if (!slice.matches()) {
            log.dropAfter(slice.dropAfter());
            return true;
        }
        slice.entries().forEach(log::append);
        synchronizedWithPrimary = true;
        return true;
    }

    /** Runs one statement outside a transaction. */
    synchronized Outcome run(
            long askedTerm, String statement, boolean write, @Nullable Idempotency idempotency, long wallClockMillis)
            throws MemberException {
        requireServing(askedTerm, write);
        Optional<LogEntry> earlier = recorded(idempotency);
        if (earlier.isPresent()) {
            return replayed(earlier.get(), List.of(statement));
        }
        Map<String, String> changes = new HashMap<>();
        String result = Statements.run(statement, write, log::value, changes);
        if (write) {
            append(wallClockMillis, idempotency, List.of(statement), changes, result);
        }
        return outcome(result, false);
    }

    /** Finds what was recorded under an idempotency key. */
    synchronized Optional<Outcome> recordedOutcome(long askedTerm, Idempotency idempotency) throws MemberException {
        requirePrimary(askedTerm);
        return recorded(idempotency).map(entry -> outcome(entry.result(), true));
    }

    synchronized Transaction begin(long askedTerm) throws MemberException {
        requirePrimary(askedTerm);
        return new Transaction(askedTerm);
    }

    synchronized Outcome runIn(Transaction transaction, String statement, boolean write) throws MemberException {
        requirePrimary(transaction.term());
        return outcome(transaction.run(statement, write, log), false);
    }

    synchronized Outcome commit(
            Transaction transaction, long askedTerm, @Nullable Idempotency idempotency, long wallClockMillis)
            throws MemberException {
        requirePrimary(askedTerm);
        requirePrimary(transaction.term());
        Optional<LogEntry> earlier = recorded(idempotency);
        if (earlier.isPresent()) {
            return replayed(earlier.get(), transaction.statements());
        }
        if (!transaction.isCurrent(log)) {
            String detail = "another commit changed a value that the transaction read; begin it again";
            throw new MemberException(MemberException.Kind.STATEMENT_REJECTED, detail);
        }
        String result = transaction.result();
        append(wallClockMillis, idempotency, transaction.statements(), transaction.changes(), result);
        return outcome(result, false);
    }

    private Outcome replayed(LogEntry earlier, List<String> statements) throws MemberException {
        if (!earlier.statements().equals(statements)) {
            throw new MemberException(
                    MemberException.Kind.IDEMPOTENCY_KEY_REUSED,
                    "the idempotency key was used with another statement, at position " + earlier.position());
        }
        return outcome(earlier.result(), true);
    }

    private void enter(long newTerm, Role newRole, String newPrimaryMember) {
        term = newTerm;
        role = newRole;
        primaryMember = newPrimaryMember;
        synchronizedWithPrimary = false;
    }

    private void requirePrimary(long askedTerm) throws MemberException {
        if (askedTerm != term) {
            throw refusal(MemberException.Kind.WRONG_TERM);
        }
        if (role != Role.PRIMARY) {
            throw refusal(MemberException.Kind.NOT_PRIMARY);
        }
    }

    private void requireServing(long askedTerm, boolean write) throws MemberException {
        boolean readableReplica = role == Role.REPLICA && synchronizedWithPrimary;
        if (write || askedTerm != term || !readableReplica) {
            requirePrimary(askedTerm);
        }
    }

    private Optional<LogEntry> recorded(@Nullable Idempotency idempotency) {
        return idempotency == null ? Optional.empty() : log.recorded(idempotency.account(), idempotency.key());
    }

    private Outcome outcome(String result, boolean replayed) {
        return new Outcome(term, log.last(), result, replayed);
    }

    private void append(
            long wallClockMillis,
            @Nullable Idempotency idempotency,
            List<String> statements,
            Map<String, String> changes,
            String result) {
        log.append(new LogEntry(
                term,
                log.last().position() + 1,
                wallClockMillis,
                idempotency == null ? null : idempotency.account(),
                idempotency == null ? null : idempotency.key(),
                statements,
                changes,
                result));
    }

    private MemberException refusal(MemberException.Kind kind) {
        return new MemberException(kind, "member " + member + " is " + role.label() + " in term " + term);
    }
}
