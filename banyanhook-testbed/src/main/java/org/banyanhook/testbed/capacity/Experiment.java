package org.banyanhook.testbed.capacity;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * A cost to be measured at several sizes.
 *
 * @param role the role of a daemon that bears the cost
 * @param operation what one operation is
 * @param sizeUnit what the size counts
 * @param sizes the sizes to measure, three or more
 * @param targetSize the size of the target
 * @param operationsPerSecond how often one daemon does the operation at the target's size
 * @param setup creates the state of one size
 */
public record Experiment(
        String role,
        String operation,
        String sizeUnit,
        List<Integer> sizes,
        long targetSize,
        double operationsPerSecond,
        Setup setup) {

    public Experiment {
        sizes = ImmutableList.copyOf(sizes);
    }

    /** Creates the state of one size. */
    @FunctionalInterface
    public interface Setup {
        /**
         * Creates a subject.
         *
         * @param size how many peers, databases or accounts the state holds
         * @param seed the seed of all random choices
         * @return the subject to operate on
         */
        Subject create(int size, long seed);
    }

    /** State that operations run on. */
    @FunctionalInterface
    public interface Subject {
        /**
         * Runs one operation.
         *
         * @param round the number of the operation, counted from 0
         * @return the encoded size of the messages that it sends, in bytes
         */
        long operate(int round);
    }
}
