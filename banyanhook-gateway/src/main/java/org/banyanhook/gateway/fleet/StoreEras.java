package org.banyanhook.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import org.banyanhook.gateway.operation.DecisionLog;

/**
 * The newest era of the store that this daemon has seen, and whether it has read all records of that era. The era rises
 * each time the store is restored from an older copy; a store without eras stays in era 0. Used on the event loop only.
 */
public final class StoreEras {

    private static final long NOT_SEEN = -1;

    private final DecisionLog log;
    private final List<Runnable> listeners = new ArrayList<>();
    private long newest = NOT_SEEN;
    private long readEra = NOT_SEEN;

    /**
     * Creates the state of a daemon that has received no answer.
     *
     * @param log receives a line for each new era
     */
    public StoreEras(DecisionLog log) {
        this.log = log;
    }

    /** Adds a listener that is called as soon as an answer shows that the store has been restored. */
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Learns of the era of an answer, before its content is used. The first answer only shows the era in which this
     * daemon started, where it holds nothing of an earlier one.
     *
     * @param era the era of the answer
     */
    public void observe(long era) {
        if (era <= newest) {
            return;
        }
        long before = newest;
        newest = era;
        if (before == NOT_SEEN) {
            return;
        }
        log.line("store")
                .with("change", "restored")
                .with("era", era)
                .with("before", before)
                .write();
        listeners.forEach(this::notify);
    }

    /** Calls a listener; an exception must not keep the others from dropping what they hold. */
    private void notify(Runnable listener) {
        try {
            listener.run();
        } catch (RuntimeException exception) {
            log.line("fault").with("reason", exception.toString()).write();
        }
    }

    /** Returns the newest era seen, 0 if the store has no eras or has not answered. */
    public long newest() {
        return Math.max(0, newest);
    }

    /** Records that all records of an era have been read. */
    public void recordReading(long era) {
        readEra = Math.max(readEra, era);
    }

    /** Returns whether all records of the newest era have been read. */
    public boolean hasReadNewest() {
        return newest != NOT_SEEN && readEra == newest;
    }

    /**
     * Returns whether this daemon may vote and promote in an era: it must have read all its records, unless the store
     * has no eras.
     *
     * @param era the era
     */
    public boolean mayDecideIn(long era) {
        return era == newest() && (era == 0 || hasReadNewest());
    }
}
