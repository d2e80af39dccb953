package org.banyanhook.testbed.line;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A database group whose members use the line protocol and report to a store. Commits are replicated synchronously,
 * except to replicas whose replication is paused. An isolated member neither sends nor receives commits and is not
 * demoted when another member is promoted, so an isolated primary keeps accepting writes in its old term. Thread-safe.
 */
public final class LineGroup implements AutoCloseable {

    /** The users' bound: no request reaches a member later than this after its failure domain was taken out. */
    private static final long EVACUATION_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final String name;
    private final StoreStandIn store;
    private final Map<String, LineMember> members = new LinkedHashMap<>();
    private final Map<String, List<LogEntry>> logs = new HashMap<>();
    private final Map<String, Boolean> primaryFlags = new HashMap<>();
    private final Map<String, String> failureDomains = new HashMap<>();
    private final Map<String, Long> terms = new HashMap<>();
    private final Set<String> replicationPaused = new HashSet<>();
    private final Set<String> isolated = new HashSet<>();
    private final Set<String> draining = new HashSet<>();
    private final Set<String> rolledBackWrites = new HashSet<>();
    private final Set<String> commitsInSupersededTerms = new HashSet<>();
    private final Map<String, Long> takenOutSinceNanos = new HashMap<>();
    private final Set<String> requestsInTakenOutDomains = new HashSet<>();
    private final Set<String> receivedRequests = new HashSet<>();
    private long newestTerm = 1;

    private record LogEntry(long term, String account, String itemAndData) {}

    /**
     * Starts the members, the first as the primary, and writes their records to the store.
     *
     * @param name the name of the group
     * @param store the store to which the members report
     * @param domains the failure domain of each member
     * @throws IOException if a port cannot be opened
     */
    public LineGroup(String name, StoreStandIn store, List<String> domains) throws IOException {
        this.name = name;
        this.store = store;
        for (String domain : domains) {
            LineMember member = new LineMember("i-" + name + members.size(), this);
            primaryFlags.put(member.name(), members.isEmpty());
            logs.put(member.name(), new ArrayList<>());
            terms.put(member.name(), newestTerm);
            failureDomains.put(member.name(), domain);
            members.put(member.name(), member);
        }
        members.values().forEach(this::reportToStore);
    }

    /** Returns the name of the group. */
    public String name() {
        return name;
    }

    /** Returns the members in the order in which they were started. */
    public List<LineMember> members() {
        return List.copyOf(members.values());
    }

    /** Pauses replication to a member while set; clearing it replicates the missing commits. */
    public synchronized void replicationPaused(LineMember member, boolean value) {
        if (value) {
            replicationPaused.add(member.name());
        } else {
            replicationPaused.remove(member.name());
            replicate();
        }
    }

    /**
     * Partitions a member from the others while set. Clearing it demotes the member if its term has been superseded,
     * and replicates the missing commits.
     */
    public synchronized void isolate(LineMember member, boolean value) {
        if (value) {
            isolated.add(member.name());
            return;
        }
        isolated.remove(member.name());
        if (term(member.name()) < newestTerm) {
            primaryFlags.put(member.name(), false);
        }
        replicate();
        reportToStore(member);
    }

    /** Reports a member as draining to the store. */
    public synchronized void startDraining(LineMember member) {
        draining.add(member.name());
        reportToStore(member);
    }

    /** Reports that a new member takes the place of a draining one, with its log and at its address. */
    public synchronized void endDraining(LineMember member) {
        draining.remove(member.name());
        reportToStore(member);
    }

    /** Takes a failure domain out of service, or returns it. */
    public synchronized void takeOut(String failureDomain, boolean value) {
        if (value) {
            store.put("op/evacuate/" + failureDomain, "{}");
            takenOutSinceNanos.put(failureDomain, System.nanoTime());
        } else {
            takenOutSinceNanos.remove(failureDomain);
            store.remove("op/evacuate/" + failureDomain);
        }
    }

    /** Returns the requests that reached a member later than the limit after its failure domain was taken out. */
    public synchronized Set<String> requestsInTakenOutDomains() {
        return Set.copyOf(requestsInTakenOutDomains);
    }

    /** Returns whether a statement with this request id has reached a member. */
    public synchronized boolean hasReceived(String requestId) {
        return receivedRequests.contains(requestId);
    }

    synchronized void recordRequest(LineMember member, String requestId) {
        receivedRequests.add(requestId);
        Long takenOut = takenOutSinceNanos.get(failureDomains.get(member.name()));
        if (takenOut != null && System.nanoTime() - takenOut > EVACUATION_LIMIT_NANOS) {
            requestsInTakenOutDomains.add(requestId);
        }
    }

    /**
     * Promotes a member to primary in the next term, as the platform's promotion call does. Has no effect if the member
     * is already the primary of the newest term.
     */
    public synchronized void promote(String memberName) {
        if (Boolean.TRUE.equals(primaryFlags.get(memberName)) && term(memberName) == newestTerm) {
            return;
        }
        newestTerm++;
        primaryFlags.replaceAll((member, isPrimary) ->
                isolated.contains(member) && !member.equals(memberName) ? isPrimary : member.equals(memberName));
        terms.put(memberName, newestTerm);
        replicate();
        members.values().forEach(this::reportToStore);
    }

    /** Returns the writes, each as item and data, that were rolled back from a log that differed from the primary's. */
    public synchronized Set<String> rolledBackWrites() {
        return Set.copyOf(rolledBackWrites);
    }

    /** Returns the writes that a primary committed in its old term after another member had been promoted. */
    public synchronized Set<String> commitsInSupersededTerms() {
        return Set.copyOf(commitsInSupersededTerms);
    }

    /** Returns whether a member acts as primary; an isolated primary still does after another has been promoted. */
    public synchronized boolean isPrimary(LineMember member) {
        return Boolean.TRUE.equals(primaryFlags.get(member.name()));
    }

    /** Returns how often a write, given as item and data, occurs in the log of the newest term's primary. */
    public synchronized long countWrites(String itemAndData) {
        return primaryFlags.entrySet().stream()
                .filter(candidate -> candidate.getValue() && term(candidate.getKey()) == newestTerm)
                .flatMap(candidate -> log(candidate.getKey()).stream())
                .filter(entry -> entry.itemAndData().equals(itemAndData))
                .count();
    }

    @Override
    public void close() throws IOException {
        for (LineMember member : members.values()) {
            member.close();
        }
    }

    synchronized boolean commit(LineMember member, String account, List<String> writes) {
        if (writes.isEmpty()) {
            return true;
        }
        if (!isPrimary(member)) {
            return false;
        }
        for (String itemAndData : writes) {
            log(member.name()).add(new LogEntry(term(member.name()), account, itemAndData));
            if (term(member.name()) < newestTerm) {
                commitsInSupersededTerms.add(itemAndData);
            }
        }
        replicate();
        return true;
    }

    synchronized String read(LineMember member, String item) {
        String data = "-";
        for (LogEntry entry : log(member.name())) {
            String[] words = entry.itemAndData().split(" ", 2);
            if (words[0].equals(item)) {
                data = words[1];
            }
        }
        return data;
    }

    synchronized boolean hasApplied(LineMember member, String position) {
        int separator = position.indexOf('.');
        long positionTerm = Long.parseLong(position.substring(0, separator));
        int positionNumber = Integer.parseInt(position.substring(separator + 1));
        List<LogEntry> log = log(member.name());
        return positionNumber == 0
                || (log.size() >= positionNumber && log.get(positionNumber - 1).term() == positionTerm);
    }

    /**
     * Returns the log position of a member as {@code term.number}. The term is that of the last commit, so a new term
     * appears in the position only after the first commit in it.
     */
    synchronized String position(LineMember member) {
        List<LogEntry> log = log(member.name());
        long lastTerm = log.isEmpty() ? 1 : log.get(log.size() - 1).term();
        return lastTerm + "." + log.size();
    }

    synchronized String status(LineMember member) {
        String role = isPrimary(member) ? "primary" : "replica";
        return role + " " + term(member.name()) + " " + position(member) + " 0 0 0 1";
    }

    synchronized void stepDown(LineMember member, long newTerm) {
        if (newTerm > term(member.name())) {
            primaryFlags.put(member.name(), false);
            reportToStore(member);
        }
    }

    /**
     * Copies the log of the newest term's primary to the replicas that are neither isolated nor paused, and rolls back
     * the entries that the primary does not have. Does nothing while that primary is isolated.
     */
    private void replicate() {
        String primary = primaryFlags.entrySet().stream()
                .filter(entry -> entry.getValue() && term(entry.getKey()) == newestTerm)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse("");
        if (primary.isEmpty() || isolated.contains(primary)) {
            return;
        }
        List<LogEntry> primaryLog = log(primary);
        for (String member : members.keySet()) {
            if (!member.equals(primary) && !isolated.contains(member) && !replicationPaused.contains(member)) {
                copyLog(member, primaryLog);
            }
        }
    }

    private void copyLog(String member, List<LogEntry> primaryLog) {
        List<LogEntry> log = log(member);
        int commonLength = 0;
        while (commonLength < log.size()
                && commonLength < primaryLog.size()
                && log.get(commonLength).equals(primaryLog.get(commonLength))) {
            commonLength++;
        }
        List<LogEntry> removed = log.subList(commonLength, log.size());
        removed.forEach(entry -> rolledBackWrites.add(entry.itemAndData()));
        removed.clear();
        log.addAll(primaryLog.subList(commonLength, primaryLog.size()));
        terms.put(member, newestTerm);
    }

    private long term(String member) {
        return terms.getOrDefault(member, 1L);
    }

    private List<LogEntry> log(String member) {
        return logs.computeIfAbsent(member, name -> new ArrayList<>());
    }

    private void reportToStore(LineMember member) {
        String state = draining.contains(member.name()) ? "draining" : "ready";
        store.put(
                "servers/" + member.name(),
                "{\"backend\":\"" + name + "\",\"address\":\"" + member.address() + "\",\"zone\":\""
                        + failureDomains.get(member.name()) + "\",\"version\":\"v1\",\"slots\":2,\"state\":\"" + state
                        + "\",\"warmup_left_ms\":0,\"db_role\":\"" + (isPrimary(member) ? "primary" : "replica")
                        + "\",\"seq\":1,\"born\":1}");
    }
}
