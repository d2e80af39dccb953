package org.banyanhook.core.transaction;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import org.banyanhook.core.error.RefusalException;
import org.banyanhook.core.error.RefusalKind;

/**
 * Identifies a transaction and the entry VM that holds its connection, its home.
 *
 * @param homeEntryVm the name of the home
 * @param incarnation the incarnation of the home's daemon; any other incarnation has lost the transaction
 * @param database the name of the database
 * @param nonce a random text that others cannot guess
 */
public record TransactionId(String homeEntryVm, long incarnation, String database, String nonce) {

    private static final char SEPARATOR = '\n';
    private static final int PART_COUNT = 4;

    public TransactionId {
        checkArgument(isValidPart(homeEntryVm), "homeEntryVm must be a single line and not empty");
        checkArgument(isValidPart(database), "database must be a single line and not empty");
        checkArgument(isValidPart(nonce), "nonce must be a single line and not empty");
    }

    /** Returns the id as text for callers, safe in a URL path. */
    public String encode() {
        String text = Joiner.on(SEPARATOR).join(homeEntryVm, incarnation, database, nonce);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Decodes the text that a caller sent.
     *
     * @param text the text
     * @return the id
     * @throws RefusalException of kind {@code TRANSACTION_UNKNOWN} if the text is not a valid id
     */
    public static TransactionId decode(String text) throws RefusalException {
        try {
            String decoded = new String(Base64.getUrlDecoder().decode(text), StandardCharsets.UTF_8);
            List<String> parts = Splitter.on(SEPARATOR).splitToList(decoded);
            checkArgument(parts.size() == PART_COUNT, "a transaction id has %s parts", PART_COUNT);
            return new TransactionId(parts.get(0), Long.parseLong(parts.get(1)), parts.get(2), parts.get(3));
        } catch (IllegalArgumentException exception) {
            throw RefusalException.notRun(
                    RefusalKind.TRANSACTION_UNKNOWN, "The path does not name a transaction of this fleet.");
        }
    }

    private static boolean isValidPart(String value) {
        return !value.isEmpty() && value.indexOf(SEPARATOR) < 0;
    }
}
