package org.banyanhook.testbed.line;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A database group of members that speak the line protocol and report to a store. Replicas receive each commit at once
 * unless they are deaf. An isolated member neither sends nor receives commits and does not hear of promotions; a
 * primary goes on as such meanwhile. Safe for several threads.
 */
public final class LineGroup implements AutoCloseable {

    private final String name;
    private final StoreStandIn store;
    private final Map<String, LineMember> members = new LinkedHashMap<>();
    private final Map<String, List<Entry>> logs = new HashMap<>();
    private final Map<String, Boolean> leading = new HashMap<>();
    private final Map<String, String> failureDomains = new HashMap<>();
    private final Map<String, Long> terms = new HashMap<>();
    private final Set<String> deaf = new HashSet<>();
    private final Set<String> isolated = new HashSet<>();
    private final Set<String> leaving = new HashSet<>();
    private final Set<String> rolledBack = new HashSet<>();
    private final Set<String> supersededCommits = new HashSet<>();
    private long newestTerm = 1;

    private record Entry(long term, String account, String itemAndData) {}

    /**
     * Starts the members, the first as the primary, and writes their entries.
     *
     * @param name the name of the group
     * @param store where the members report
     * @param domains the failure domain of each member
     * @throws IOException if a port cannot be opened
     */
    public LineGroup(String name, StoreStandIn store, List<String> domains) throws IOException {
        this.name = name;
        this.store = store;
        for (String domain : domains) {
            LineMember member = new LineMember("i-" + name + members.size(), this);
            leading.put(member.name(), members.isEmpty());
            logs.put(member.name(), new ArrayList<>());
            terms.put(member.name(), newestTerm);
            failureDomains.put(member.name(), domain);
            members.put(member.name(), member);
        }
        members.values().forEach(this::report);
    }

    /** Returns its name. */
    public String name() {
        return name;
    }

    /** Returns the members in the order of their start. */
    public List<LineMember> members() {
        return List.copyOf(members.values());
    }

    /** Keeps a member from receiving commits, while set. */
    public synchronized void deaf(LineMember member, boolean value) {
        if (value) {
            deaf.add(member.name());
        } else {
            deaf.remove(member.name());
            replicate();
        }
    }

    /** Partitions a member from the others and from promotions, while set. */
    public synchronized void isolate(LineMember member, boolean value) {
        if (value) {
            isolated.add(member.name());
            return;
        }
        isolated.remove(member.name());
        if (term(member.name()) < newestTerm) {
            leading.put(member.name(), false);
        }
        replicate();
        report(member);
    }

    /** Lets a member report that it is about to end. */
    public synchronized void leave(LineMember member) {
        leaving.add(member.name());
        report(member);
    }

    /** Makes a member the primary of the next term, as the platform's call does. */
    public synchronized void promote(String memberName) {
        if (Boolean.TRUE.equals(leading.get(memberName)) && term(memberName) == newestTerm) {
            return;
        }
        newestTerm++;
        leading.replaceAll((member, leads) ->
                isolated.contains(member) && !member.equals(memberName) ? leads : member.equals(memberName));
        terms.put(memberName, newestTerm);
        replicate();
        members.values().forEach(this::report);
    }

    /** Returns what was written to items and dropped with the log of a superseded primary. */
    public synchronized Set<String> rolledBack() {
        return Set.copyOf(rolledBack);
    }

    /** Returns what was committed at a primary after another had been promoted. */
    public synchronized Set<String> supersededCommits() {
        return Set.copyOf(supersededCommits);
    }

    /** Returns whether a member leads. */
    public synchronized boolean leads(LineMember member) {
        return Boolean.TRUE.equals(leading.get(member.name()));
    }

    /** Returns how often an item was written with some data, as the primary's log has it. */
    public synchronized long count(String itemAndData) {
        return leading.entrySet().stream()
                .filter(leader -> leader.getValue() && term(leader.getKey()) == newestTerm)
                .flatMap(leader -> log(leader.getKey()).stream())
                .filter(entry -> entry.itemAndData().equals(itemAndData))
                .count();
    }

    @Override
    public void close() throws IOException {
        for (LineMember member : members.values()) {
            member.close();
        }
    }

    synchronized boolean commit(LineMember member, String account, List<String> written) {
        if (written.isEmpty()) {
            return true;
        }
        if (!leads(member)) {
            return false;
        }
        for (String itemAndData : written) {
            log(member.name()).add(new Entry(term(member.name()), account, itemAndData));
            if (term(member.name()) < newestTerm) {
                supersededCommits.add(itemAndData);
            }
        }
        replicate();
        return true;
    }

    synchronized String read(LineMember member, String item) {
        String found = "-";
        for (Entry entry : log(member.name())) {
            String[] words = entry.itemAndData().split(" ", 2);
            if (words[0].equals(item)) {
                found = words[1];
            }
        }
        return found;
    }

    synchronized boolean covers(LineMember member, String position) {
        int dot = position.indexOf('.');
        long wantedTerm = Long.parseLong(position.substring(0, dot));
        int number = Integer.parseInt(position.substring(dot + 1));
        List<Entry> log = log(member.name());
        return number == 0 || (log.size() >= number && log.get(number - 1).term() == wantedTerm);
    }

    /** The term is that of the last commit: a log names a new term only with its first commit. */
    synchronized String position(LineMember member) {
        List<Entry> log = log(member.name());
        long lastTerm = log.isEmpty() ? 1 : log.get(log.size() - 1).term();
        return lastTerm + "." + log.size();
    }

    synchronized String status(LineMember member) {
        String role = leads(member) ? "primary" : "replica";
        return role + " " + term(member.name()) + " " + position(member) + " 0 0 0 1";
    }

    synchronized void stepDown(LineMember member, long newTerm) {
        if (newTerm > term(member.name())) {
            leading.put(member.name(), false);
            report(member);
        }
    }

    /** Brings the replicas that hear of it up to the log of the newest primary, and rolls back what it lacks. */
    private void replicate() {
        String leader = leading.entrySet().stream()
                .filter(entry -> entry.getValue() && term(entry.getKey()) == newestTerm)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse("");
        if (leader.isEmpty() || isolated.contains(leader)) {
            return;
        }
        List<Entry> newest = log(leader);
        for (String member : members.keySet()) {
            if (!member.equals(leader) && !isolated.contains(member) && !deaf.contains(member)) {
                adopt(member, newest);
            }
        }
    }

    private void adopt(String member, List<Entry> newest) {
        List<Entry> log = log(member);
        int common = 0;
        while (common < log.size() && common < newest.size() && log.get(common).equals(newest.get(common))) {
            common++;
        }
        List<Entry> dropped = log.subList(common, log.size());
        dropped.forEach(entry -> rolledBack.add(entry.itemAndData()));
        dropped.clear();
        log.addAll(newest.subList(common, newest.size()));
        terms.put(member, newestTerm);
    }

    private long term(String member) {
        return terms.getOrDefault(member, 1L);
    }

    private List<Entry> log(String member) {
        return logs.computeIfAbsent(member, name -> new ArrayList<>());
    }

    private void report(LineMember member) {
        String state = leaving.contains(member.name()) ? "draining" : "ready";
        store.put(
                "servers/" + member.name(),
                "{\"backend\":\"" + name + "\",\"address\":\"" + member.address() + "\",\"zone\":\""
                        + failureDomains.get(member.name()) + "\",\"version\":\"v1\",\"slots\":2,\"state\":\"" + state
                        + "\",\"warmup_left_ms\":0,\"db_role\":\"" + (leads(member) ? "primary" : "replica")
                        + "\",\"seq\":1,\"born\":1}");
    }
}
