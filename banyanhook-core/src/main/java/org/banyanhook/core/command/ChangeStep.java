package org.banyanhook.core.command;

import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;

/** What to do next to make a change. Immutable. */
public sealed interface ChangeStep {

    /** Read the newest document from the platform. */
    record Read() implements ChangeStep {}

    /**
     * Replace the document that was just read, if nobody else did.
     *
     * @param replacement the configuration to write
     */
    record Swap(FleetConfiguration replacement) implements ChangeStep {}

    /**
     * The change is part of the configuration.
     *
     * @param version the version that it made
     */
    record Finished(long version) implements ChangeStep {}

    /**
     * The change is refused.
     *
     * @param refusal why, with what is known about its execution
     */
    record Refused(RefusalException refusal) implements ChangeStep {}
}
