package org.banyanhook.daemon.caller;

import com.google.common.collect.ImmutableMap;
import java.util.Map;

/**
 * A reply to a caller.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param headers the headers other than content type, content length and request id
 * @param body the complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerReply(int status, String contentType, Map<String, String> headers, byte[] body) {
    public CallerReply {
        headers = ImmutableMap.copyOf(headers);
    }
}
