package org.banyanhook.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/** Formats a gateway's explanation of a choice as text. */
final class ExplanationFormatter {

    private static final String ROW = "%-16s %-8s %-10s %-12s %8s %8s %8s %8s %8s  %s%n";

    private ExplanationFormatter() {}

    /** Returns a line for each member, and one for the choice. */
    static String format(JsonNode answer) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                Locale.ROOT,
                ROW,
                "member",
                "role",
                "region",
                "position",
                "running",
                "inflight",
                "knee",
                "ms",
                "cost",
                "connection or reason"));
        for (JsonNode member : answer.path("members")) {
            boolean excluded = member.path("access").isNull();
            text.append(String.format(
                    Locale.ROOT,
                    ROW,
                    member.path("member").asText(),
                    member.path("role").asText(),
                    member.path("region").asText(),
                    member.path("position").asText(),
                    member.path("running").asText(),
                    decimal(member.path("inFlight")),
                    decimal(member.path("knee")),
                    decimal(member.path("serviceMillis")),
                    excluded ? "-" : decimal(member.path("costMillis")),
                    excluded
                            ? member.path("exclusion").asText()
                            : member.path("access").asText().toLowerCase(Locale.ROOT)));
        }
        text.append(choice(answer)).append(System.lineSeparator());
        return text.toString();
    }

    private static String choice(JsonNode answer) {
        if (answer.path("choice").isNull()) {
            return "choice: none; the request would wait for a member until its deadline";
        }
        String choice = "choice: " + answer.path("choice").asText();
        return answer.path("random").asBoolean()
                ? choice
                        + String.format(
                                Locale.ROOT,
                                ", drawn with %.3f by weights that fall with the costs",
                                answer.path("draw").asDouble())
                : choice + ", the lowest cost";
    }

    private static String decimal(JsonNode value) {
        return String.format(Locale.ROOT, "%.1f", value.asDouble());
    }
}
