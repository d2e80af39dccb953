package org.banyanhook.testbed.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * The body of a refused call.
 *
 * @param error the kind of refusal
 * @param term the term of the member that refused, where it matters
 * @param detail what was wrong
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ErrorBody(
        String error, @Nullable Long term, @Nullable String detail) {

    /** Returns a body with only a kind. */
    public static ErrorBody of(String error) {
        return new ErrorBody(error, null, null);
    }
}
