package org.banyanhook.core.command;

/**
 * Lists current configuration or state.
 *
 * @param subject the subject to list
 */
public record Show(ShowSubject subject) implements Command {
    @Override
    public String text() {
        return "show " + subject.label();
    }
}
