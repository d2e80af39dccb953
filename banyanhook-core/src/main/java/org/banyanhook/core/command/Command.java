package org.banyanhook.core.command;

/** One parsed command of an operator. Immutable. */
public sealed interface Command permits Show, Explain, ConfigurationChange {
    /** Returns the command in the syntax of the command language. */
    String text();
}
