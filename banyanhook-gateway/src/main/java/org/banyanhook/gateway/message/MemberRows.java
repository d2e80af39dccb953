package org.banyanhook.gateway.message;

import java.util.List;

/**
 * Some of the rows of an answer that is not complete yet.
 *
 * @param rows the rows, which precede those of the {@link MemberAnswer} that completes the answer
 */
public record MemberRows(List<String> rows) {
    public MemberRows {
        rows = List.copyOf(rows);
    }
}
