package org.banyanhook.daemon.rate;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.banyanhook.core.rate.AllotmentEntry;
import org.banyanhook.core.rate.AllotmentRecord;
import org.banyanhook.daemon.platform.PlatformException;
import org.jspecify.annotations.Nullable;

/** Converts allotment records to and from the JSON stored on the platform. */
final class AllotmentRecordCodec {

    private static final int FORMAT_VERSION = 1;
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    private record Document(int format, @Nullable List<AllotmentEntry> holders) {}

    private AllotmentRecordCodec() {}

    static String encode(AllotmentRecord record) {
        try {
            return MAPPER.writeValueAsString(new Document(FORMAT_VERSION, record.entries()));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot encode an allotment record as JSON", exception);
        }
    }

    /**
     * Decodes a record.
     *
     * @param json the value stored on the platform
     * @return the record
     * @throws PlatformException if the value is not an allotment record of a known format; the caller must not replace
     *     the stored value in this case
     */
    static AllotmentRecord decode(String json) throws PlatformException {
        try {
            Document document = MAPPER.readValue(json, Document.class);
            List<AllotmentEntry> holders = document.holders();
            if (document.format() != FORMAT_VERSION || holders == null) {
                throw unreadable("format " + document.format());
            }
            return AllotmentRecord.of(holders);
        } catch (JsonProcessingException | IllegalArgumentException exception) {
            throw unreadable(String.valueOf(exception.getMessage()));
        }
    }

    private static PlatformException unreadable(String detail) {
        return new PlatformException(
                PlatformException.Kind.REFUSED,
                "cannot decode the allotment record; restore it, or stop all daemons of the domain and delete it: "
                        + detail);
    }
}
