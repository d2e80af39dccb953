package org.banyanhook.gateway.session;

import java.util.ArrayList;
import java.util.List;

/**
 * The rows of an answer that is not complete yet. They are held back up to a bound, so that a read can be retried on
 * another member as long as the caller has received nothing of it; larger answers are passed on as they arrive.
 */
final class HeldRows {

    /** Answers up to this size are passed on as a whole. */
    static final int MAXIMUM_HELD_CHARACTERS = 256 << 10;

    private List<String> rows = new ArrayList<>();
    private long characters;

    /** Adds rows; returns whether the bound is exceeded, so that they have to be passed on. */
    boolean add(List<String> added) {
        rows.addAll(added);
        for (String row : added) {
            characters += row.length();
        }
        return characters > MAXIMUM_HELD_CHARACTERS;
    }

    /** Returns the rows held so far, and forgets them. */
    List<String> take() {
        List<String> taken = rows;
        rows = new ArrayList<>();
        characters = 0;
        return taken;
    }
}
