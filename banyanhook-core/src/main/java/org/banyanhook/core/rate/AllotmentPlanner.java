package org.banyanhook.core.rate;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntUnaryOperator;

/** Plans the units of an entry VM by rendezvous hashing over the running entry VMs of its failure domain. */
public final class AllotmentPlanner {

    /** The maximum number of entry VMs in a failure domain that hold units of one group. */
    public static final int MAXIMUM_HOLDERS_PER_GROUP = 8;

    private static final int MINIMUM_TOKENS_PER_HOLDER = 4;

    private AllotmentPlanner() {}

    /**
     * Computes the number of holders of an account in a failure domain such that each can hold a few tokens. Fractions
     * of tokens spread over many buckets cannot serve any request.
     *
     * @param domainBurst the failure domain's share of the account's burst, in tokens
     * @return the number of holders, from 1 to {@link #MAXIMUM_HOLDERS_PER_GROUP}
     */
    public static int holderCount(double domainBurst) {
        long count = Tokens.toMicros(domainBurst) / (MINIMUM_TOKENS_PER_HOLDER * Tokens.MICROS_PER_TOKEN);
        return (int) Math.max(1, Math.min(MAXIMUM_HOLDERS_PER_GROUP, count));
    }

    /**
     * Chooses the holders of a group.
     *
     * @param group the group of client accounts
     * @param running the names of the running entry VMs of the failure domain
     * @param count the number of holders, from 1 to {@link #MAXIMUM_HOLDERS_PER_GROUP}
     * @return all running entry VMs if there are at most {@code count}, else the first {@code count} by rank
     */
    public static List<String> holders(int group, Collection<String> running, int count) {
        if (running.size() <= count) {
            return List.copyOf(running);
        }
        return running.stream()
                .sorted(Comparator.<String>comparingLong(name -> rank(group, name))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(count)
                .toList();
    }

    /**
     * Plans the units of one entry VM.
     *
     * @param record the latest known record
     * @param entryVm the name of the entry VM
     * @param running the names of the running entry VMs of its failure domain, this one included
     * @param holderCounts the number of holders of each group
     * @return the units to hold in each group: fewer than now only if another holder has less than its share, more than
     *     now only if units are free
     */
    public static List<Integer> plan(
            AllotmentRecord record, String entryVm, Collection<String> running, IntUnaryOperator holderCounts) {
        List<Integer> units = new ArrayList<>(AllotmentRecord.GROUP_COUNT);
        for (int group = 0; group < AllotmentRecord.GROUP_COUNT; group++) {
            units.add(planGroup(record, entryVm, group, holders(group, running, holderCounts.applyAsInt(group))));
        }
        return units;
    }

    private static int planGroup(AllotmentRecord record, String entryVm, int group, List<String> holders) {
        int held = record.units(entryVm, group);
        int free = record.freeUnits(group);
        int equalShare = holders.isEmpty() ? 0 : AllotmentRecord.UNITS_PER_GROUP / holders.size();
        int target = holders.contains(entryVm) ? equalShare : 0;
        if (held < target) {
            return held + Math.min(free, target - held);
        }
        int shortage = 0;
        for (String holder : holders) {
            if (!holder.equals(entryVm)) {
                shortage += Math.max(0, equalShare - record.units(holder, group));
            }
        }
        int release = Math.min(held - target, Math.max(0, shortage - free));
        return held - release;
    }

    private static long rank(int group, String name) {
        return Hashing.murmur3_128(group)
                .hashString(name, StandardCharsets.UTF_8)
                .asLong();
    }
}
