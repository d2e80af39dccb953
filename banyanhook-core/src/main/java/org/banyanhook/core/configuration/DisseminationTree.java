package org.banyanhook.core.configuration;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * The tree along which the entry VMs of one failure domain disseminate an update. Every entry VM forwards the update to
 * a bounded number of children. The tree is shuffled for every update, so that the forwarding load is distributed over
 * all entry VMs. Immutable.
 */
public final class DisseminationTree {

    /** Maximum number of entry VMs to which one entry VM forwards an update. */
    public static final int MAXIMUM_CHILDREN = 4;

    private final List<String> order;

    private DisseminationTree(List<String> order) {
        this.order = order;
    }

    /**
     * Builds a tree.
     *
     * @param entryVms the names of the live entry VMs of one failure domain, in any order
     * @param updateId a number that identifies the update, such as a version
     * @return the tree, which is the same on every entry VM for the same arguments
     */
    public static DisseminationTree of(Collection<String> entryVms, long updateId) {
        Comparator<String> byRank = Comparator.comparingLong(name -> rank(name, updateId));
        return new DisseminationTree(entryVms.stream()
                .sorted(byRank.thenComparing(Comparator.naturalOrder()))
                .collect(ImmutableList.toImmutableList()));
    }

    /**
     * Returns the entry VMs to which an entry VM forwards the update.
     *
     * @param entryVm the name of an entry VM
     * @return its children, empty if it has none or is not in the tree
     */
    public List<String> children(String entryVm) {
        int position = order.indexOf(entryVm);
        if (position < 0) {
            return ImmutableList.of();
        }
        int first = Math.min(position * MAXIMUM_CHILDREN + 1, order.size());
        int end = Math.min(first + MAXIMUM_CHILDREN, order.size());
        return order.subList(first, end);
    }

    /**
     * Returns the first entry VMs of the tree.
     *
     * @param count the maximum number of entry VMs, at least 1
     * @return the root and the entry VMs after it; fewer if the tree is smaller
     */
    public List<String> first(int count) {
        checkArgument(count > 0, "count must be positive, was %s", count);
        return order.subList(0, Math.min(count, order.size()));
    }

    private static long rank(String entryVm, long updateId) {
        return Hashing.sipHash24()
                .newHasher()
                .putString(entryVm, StandardCharsets.UTF_8)
                .putLong(updateId)
                .hash()
                .asLong();
    }
}
