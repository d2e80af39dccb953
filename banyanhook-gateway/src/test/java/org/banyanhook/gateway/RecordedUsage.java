package org.banyanhook.gateway;

import java.util.ArrayList;
import java.util.List;
import org.banyanhook.gateway.usage.UsageMeter;

/** Lists what was recorded; each sending is its own window. */
public final class RecordedUsage implements UsageMeter {

    private final List<String> events = new ArrayList<>();
    private long lastWindow;

    /** Returns the events in their order, such as "sent account 1". */
    public List<String> events() {
        return events;
    }

    @Override
    public long recordSent(String account) {
        lastWindow++;
        events.add("sent " + account + " " + lastWindow);
        return lastWindow;
    }

    @Override
    public void recordRan(long window, String account) {
        events.add("ran " + account + " " + window);
    }

    @Override
    public void recordRefused(long window, String account) {
        events.add("refused " + account + " " + window);
    }
}
