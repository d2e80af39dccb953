package org.banyanhook.core.command;

import org.banyanhook.core.configuration.FleetConfiguration;
import org.banyanhook.core.error.RefusalException;

/** The next step of a configuration change. Immutable. */
public sealed interface ChangeStep {

    /** Read the newest configuration document from the platform. */
    record Read() implements ChangeStep {}

    /**
     * Replace the document that was just read, unless it was replaced in the meantime.
     *
     * @param replacement the configuration to write
     */
    record Swap(FleetConfiguration replacement) implements ChangeStep {}

    /**
     * The change was applied to the configuration.
     *
     * @param version the version that the change created
     */
    record Finished(long version) implements ChangeStep {}

    /**
     * The change was refused.
     *
     * @param refusal the reason, with what is known about the execution of the change
     */
    record Refused(RefusalException refusal) implements ChangeStep {}
}
