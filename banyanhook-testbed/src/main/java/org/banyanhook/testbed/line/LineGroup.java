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
 * unless they are deaf. Safe for several threads.
 */
public final class LineGroup implements AutoCloseable {

    private final String name;
    private final StoreStandIn store;
    private final Map<String, LineMember> members = new LinkedHashMap<>();
    private final Map<String, List<Entry>> logs = new HashMap<>();
    private final Map<String, Boolean> leading = new HashMap<>();
    private final Map<String, String> failureDomains = new HashMap<>();
    private final Set<String> deaf = new HashSet<>();
    private final Set<String> leaving = new HashSet<>();
    private long term = 1;

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
        }
    }

    /** Lets a member report that it is about to end. */
    public synchronized void leave(LineMember member) {
        leaving.add(member.name());
        report(member);
    }

    /** Makes a member the primary of the next term, as the platform's call does. */
    public synchronized void promote(String memberName) {
        if (Boolean.TRUE.equals(leading.get(memberName))) {
            return;
        }
        term++;
        leading.replaceAll((member, leads) -> member.equals(memberName));
        List<Entry> log = new ArrayList<>(log(memberName));
        logs.replaceAll((member, old) -> new ArrayList<>(log));
        members.values().forEach(this::report);
    }

    /** Returns whether a member leads. */
    public synchronized boolean leads(LineMember member) {
        return Boolean.TRUE.equals(leading.get(member.name()));
    }

    /** Returns how often an item was written with some data, as the primary's log has it. */
    public synchronized long count(String itemAndData) {
        return leading.entrySet().stream()
                .filter(Map.Entry::getValue)
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
            Entry entry = new Entry(term, account, itemAndData);
            log(member.name()).add(entry);
            logs.forEach((other, log) -> {
                if (!other.equals(member.name()) && !deaf.contains(other)) {
                    log.add(entry);
                }
            });
        }
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
        return log(member.name()).size() >= Long.parseLong(position.substring(position.indexOf('.') + 1));
    }

    synchronized String position(LineMember member) {
        return term + "." + log(member.name()).size();
    }

    synchronized String status(LineMember member) {
        String role = leads(member) ? "primary" : "replica";
        return role + " " + term + " " + position(member) + " 0 0 0 1";
    }

    synchronized void stepDown(LineMember member, long newTerm) {
        if (newTerm > term) {
            leading.put(member.name(), false);
            report(member);
        }
    }

    private List<Entry> log(String member) {
        return logs.getOrDefault(member, new ArrayList<>());
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
