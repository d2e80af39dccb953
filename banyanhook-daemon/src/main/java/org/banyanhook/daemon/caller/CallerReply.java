package org.banyanhook.daemon.caller;

import com.google.common.collect.ImmutableMap;
import java.util.Map;

/**
 * A reply to a caller.
 *
 * @param status the HTTP status
 * @param contentType the type of the body
 * @param headers headers besides the type, the length and the request id
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallerReply(int status, String contentType, Map<String, String> headers, byte[] body) {
    public CallerReply {
        headers = ImmutableMap.copyOf(headers);
    }
}
