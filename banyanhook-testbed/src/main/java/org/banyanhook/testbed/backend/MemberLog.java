package org.banyanhook.testbed.backend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.banyanhook.core.replication.LogPosition;
import org.jspecify.annotations.Nullable;

/** The log of one member with the data that follows from it. Not safe for use by several threads. */
final class MemberLog {

    private record RecordedKey(String account, String idempotencyKey) {}

    private final List<LogEntry> entries = new ArrayList<>();
    private final Map<String, String> data = new HashMap<>();
    private final Map<RecordedKey, LogEntry> recorded = new HashMap<>();

    LogPosition last() {
        return placeAt(entries.size());
    }

    List<LogEntry> entries() {
        return List.copyOf(entries);
    }

    String value(String key) {
        return data.getOrDefault(key, "");
    }

    Optional<LogEntry> recorded(String account, String idempotencyKey) {
        return Optional.ofNullable(recorded.get(new RecordedKey(account, idempotencyKey)));
    }

    void append(LogEntry entry) {
        if (entry.position() != entries.size() + 1L) {
            throw new IllegalArgumentException(
                    "entry " + entry.position() + " does not follow position " + entries.size());
        }
        entries.add(entry);
        apply(entry);
    }

    boolean holds(LogPosition place) {
        return place.position() <= entries.size()
                && placeAt((int) place.position()).equals(place);
    }

    List<LogEntry> after(long position, int limit) {
        int from = (int) position;
        int to = Math.min(entries.size(), from + limit);
        return List.copyOf(entries.subList(from, to));
    }

    /** Returns the last position up to the given place whose term is not over the term of that place. */
    long lastPossibleMatch(LogPosition place) {
        int position = (int) Math.min(place.position(), entries.size());
        while (placeAt(position).term() > place.term()) {
            position--;
        }
        return position == place.position() && !holds(place) ? position - 1 : position;
    }

    void dropAfter(long position) {
        if (position >= entries.size()) {
            return;
        }
        entries.subList((int) position, entries.size()).clear();
        data.clear();
        recorded.clear();
        entries.forEach(this::apply);
    }

    private LogPosition placeAt(int position) {
        if (position == 0) {
            return LogPosition.START;
        }
        LogEntry entry = entries.get(position - 1);
        return new LogPosition(entry.term(), entry.position());
    }

    private void apply(LogEntry entry) {
        data.putAll(entry.changes());
        @Nullable String account = entry.account();
        @Nullable String idempotencyKey = entry.idempotencyKey();
        if (account != null && idempotencyKey != null) {
            recorded.put(new RecordedKey(account, idempotencyKey), entry);
        }
    }
}
