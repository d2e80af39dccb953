package org.banyanhook.core.command;

/**
 * Lists what is true now.
 *
 * @param subject what to list
 */
public record Show(ShowSubject subject) implements Command {
    @Override
    public String text() {
        return "show " + subject.label();
    }
}
