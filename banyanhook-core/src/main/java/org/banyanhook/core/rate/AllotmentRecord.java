package org.banyanhook.core.rate;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The allotments of all entry VMs of a failure domain. Stored as one value on the platform and changed by
 * compare-and-swap. Immutable.
 *
 * <p>Client accounts are assigned to groups by the hash of their names. Each group's share of the failure domain is
 * divided into {@link #UNITS_PER_GROUP} units, each held by at most one process.
 */
public final class AllotmentRecord {

    /** The number of groups of client accounts. */
    public static final int GROUP_COUNT = 32;

    /** The units of a group; divisible by 1 to 8, so that up to 8 holders get equal shares. */
    public static final int UNITS_PER_GROUP = 840;

    /** A record without entries. */
    public static final AllotmentRecord EMPTY = new AllotmentRecord(ImmutableSortedMap.of());

    private final ImmutableSortedMap<String, AllotmentEntry> entries;

    private AllotmentRecord(ImmutableSortedMap<String, AllotmentEntry> entries) {
        this.entries = entries;
        for (int group = 0; group < GROUP_COUNT; group++) {
            checkArgument(
                    freeUnits(group) >= 0, "group %s must not have more than %s units held", group, UNITS_PER_GROUP);
        }
    }

    /**
     * Creates a record.
     *
     * @param entries the entries, at most one for each entry VM
     * @throws IllegalArgumentException if a group has more than {@link #UNITS_PER_GROUP} units held, or an entry VM has
     *     two entries
     */
    public static AllotmentRecord of(Collection<AllotmentEntry> entries) {
        ImmutableSortedMap.Builder<String, AllotmentEntry> builder = ImmutableSortedMap.naturalOrder();
        entries.forEach(entry -> builder.put(entry.entryVm(), entry));
        return new AllotmentRecord(builder.buildOrThrow());
    }

    /** Returns the group of a client account. */
    public static int groupOf(String clientAccount) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(clientAccount, StandardCharsets.UTF_8)
                .asInt();
        return Integer.remainderUnsigned(hash, GROUP_COUNT);
    }

    /** Returns all entries, ordered by name. */
    public ImmutableList<AllotmentEntry> entries() {
        return entries.values().asList();
    }

    /** Returns the entry under a name, held by any process of that name. */
    public Optional<AllotmentEntry> entry(String entryVm) {
        return Optional.ofNullable(entries.get(entryVm));
    }

    /** Returns the entry held by a process, or empty if it holds none. */
    public Optional<AllotmentEntry> entry(String entryVm, long incarnation) {
        return entry(entryVm).filter(entry -> entry.isHeldBy(entryVm, incarnation));
    }

    /** Returns the units of a group held under a name, by any process of that name. */
    public int units(String entryVm, int group) {
        AllotmentEntry entry = entries.get(entryVm);
        return entry == null ? 0 : entry.units().get(group);
    }

    /** Returns the units of a group that are not held. */
    public int freeUnits(int group) {
        int held = 0;
        for (AllotmentEntry entry : entries.values()) {
            held += entry.units().get(group);
        }
        return UNITS_PER_GROUP - held;
    }

    /** Returns a copy with an entry added or replaced. */
    public AllotmentRecord with(AllotmentEntry entry) {
        TreeMap<String, AllotmentEntry> changed = new TreeMap<>(entries);
        changed.put(entry.entryVm(), entry);
        return new AllotmentRecord(ImmutableSortedMap.copyOf(changed));
    }

    /** Returns a copy without the entry under a name. */
    public AllotmentRecord without(String entryVm) {
        TreeMap<String, AllotmentEntry> changed = new TreeMap<>(entries);
        changed.remove(entryVm);
        return new AllotmentRecord(ImmutableSortedMap.copyOf(changed));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AllotmentRecord record && record.entries.equals(entries);
    }

    @Override
    public int hashCode() {
        return entries.hashCode();
    }

    @Override
    public String toString() {
        return entries.values().toString();
    }
}
