package org.banyanhook.testbed.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The uncommitted work of one connection. Guarded by its {@link MemberState}. */
final class Transaction {

    private final long term;
    private final Map<String, String> valuesRead = new HashMap<>();
    private final Map<String, String> changes = new HashMap<>();
    private final List<String> statements = new ArrayList<>();
    private final List<String> results = new ArrayList<>();

    Transaction(long term) {
        this.term = term;
    }

    long term() {
        return term;
    }

    String run(String statement, boolean write, MemberLog log) throws MemberException {
        Map<String, String> newChanges = new HashMap<>();
        String result = Statements.run(statement, write, key -> read(key, log), newChanges);
        changes.putAll(newChanges);
        if (!newChanges.isEmpty()) {
            statements.add(statement);
        }
        results.add(result);
        return result;
    }

    /** Tells whether no other commit changed a value that this transaction read. */
    boolean isCurrent(MemberLog log) {
        return valuesRead.entrySet().stream()
                .allMatch(entry -> log.value(entry.getKey()).equals(entry.getValue()));
    }

    Map<String, String> changes() {
        return changes;
    }

    List<String> statements() {
        return statements;
    }

    String result() {
        return String.join(",", results);
    }

    private String read(String key, MemberLog log) {
        if (changes.containsKey(key)) {
            return changes.getOrDefault(key, "");
        }
        return valuesRead.computeIfAbsent(key, log::value);
    }
}
