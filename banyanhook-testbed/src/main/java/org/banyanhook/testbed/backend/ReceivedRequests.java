package org.banyanhook.testbed.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The latest requests received, as text, bounded by size. Safe for use by several threads. */
final class ReceivedRequests {

    private static final int MAXIMUM_CHARACTERS = 8 << 20;

    private final Deque<String> requests = new ArrayDeque<>();
    private int characters;

    synchronized void add(String request) {
        requests.addLast(request);
        characters += request.length();
        while (characters > MAXIMUM_CHARACTERS) {
            characters -= requests.removeFirst().length();
        }
    }

    synchronized List<String> all() {
        return List.copyOf(requests);
    }
}
