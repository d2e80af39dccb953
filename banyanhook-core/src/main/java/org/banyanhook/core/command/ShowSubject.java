package org.banyanhook.core.command;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** The subjects that the {@code show} command can list. */
public enum ShowSubject {
    ACCOUNTS,
    SERVICES,
    ROUTES,
    DATABASES,
    FAILURE_DOMAINS,
    ENTRY_VMS,
    CONFIGURATION,
    WITHDRAWALS;

    /** Returns the keyword of the subject in the command language. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Finds a subject by its keyword, or returns empty. */
    public static Optional<ShowSubject> find(String label) {
        return Arrays.stream(values())
                .filter(subject -> subject.label().equals(label))
                .findFirst();
    }

    static String allLabels() {
        return Arrays.stream(values()).map(ShowSubject::label).collect(Collectors.joining("|"));
    }
}
