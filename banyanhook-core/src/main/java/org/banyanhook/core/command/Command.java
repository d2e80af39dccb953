package org.banyanhook.core.command;

/** One parsed command of an operator. Immutable. */
public sealed interface Command permits Show, Explain, ConfigurationChange {
    /** Returns the command as the grammar writes it. */
    String text();
}
