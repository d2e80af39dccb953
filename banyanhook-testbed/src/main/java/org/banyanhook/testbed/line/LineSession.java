package org.banyanhook.testbed.line;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One connection to a {@link LineMember}: its values, prepared names and transaction. Used by one thread. */
final class LineSession {

    private final LineMember member;
    private final LineGroup group;
    private final Map<String, String> prepared = new HashMap<>();
    private final List<String> written = new ArrayList<>();
    private final Map<String, String> values = new LinkedHashMap<>();
    private String account = "";
    private String state = "I";

    LineSession(LineMember member, LineGroup group) {
        this.member = member;
        this.group = group;
    }

    /** Answers a line; returns false if the connection ends. */
    boolean handle(String line, List<String> answer) {
        String[] words = line.split(" ", 3);
        if (words[0].equals("STARTUP")) {
            String[] identity = words[2].split(" ", 2);
            account = identity[0];
            if (!words[1].equals(group.name()) || !identity[1].equals(member.name())) {
                answer.add("ERROR MOVED " + member.name());
                return false;
            }
            answer.add(ready());
            return true;
        }
        String error = run(words[1], words[2], answer);
        if (!error.isEmpty()) {
            answer.add("ERROR " + error + " " + member.name());
            state = state.equals("T") ? "E" : state;
        }
        answer.add(ready());
        return true;
    }

    void end() {
        written.clear();
    }

    /** Runs a statement and returns the code of its failure, empty if it succeeded. */
    private String run(String requestId, String text, List<String> answer) {
        if (text.startsWith("WAITLSN ")) {
            String[] parts = text.split(" ", 3);
            if (!group.covers(member, parts[1])) {
                return "LAGGING";
            }
            return run(requestId, parts[2], answer);
        }
        String[] words = text.split(" ", 2);
        String rest = words.length > 1 ? words[1] : "";
        if (state.equals("E") && !words[0].equals("ROLLBACK")) {
            return "MALFORMED";
        }
        switch (words[0]) {
            case "BEGIN":
                if (rest.isEmpty() && !group.leads(member)) {
                    return "READONLY";
                }
                state = "T";
                break;
            case "ROLLBACK":
                state = "I";
                written.clear();
                break;
            case "COMMIT":
                state = "I";
                if (!group.commit(member, account, written)) {
                    return "READONLY";
                }
                written.clear();
                break;
            case "SET":
                String[] value = rest.split(" ", 2);
                values.put(value[0], value[1]);
                break;
            case "DISCARD":
                values.clear();
                prepared.clear();
                break;
            case "PREPARE":
                String[] shape = rest.split(" ", 2);
                prepared.put(shape[0], shape[1]);
                break;
            case "STATUS":
                answer.add("DATAROW " + group.status(member));
                break;
            case "STEPDOWN":
                group.stepDown(member, Long.parseLong(rest));
                answer.add("DATAROW " + group.status(member));
                break;
            case "EXECUTE":
                return execute(requestId, rest, answer);
            case "READ":
                answer.add("DATAROW " + group.read(member, rest) + "|" + valueText() + "|" + account);
                break;
            case "WRITE":
                String failure = write(rest);
                if (!failure.isEmpty()) {
                    return failure;
                }
                break;
            default:
                return "MALFORMED";
        }
        complete(requestId, answer);
        return "";
    }

    private String execute(String requestId, String rest, List<String> answer) {
        String[] words = rest.split(" ", 2);
        String shape = prepared.get(words[0]);
        if (shape == null) {
            return "NOSTMT";
        }
        if (shape.startsWith("READ")) {
            answer.add("DATAROW " + shape + "|" + group.read(member, words[1]) + "|" + valueText() + "|" + account);
        } else {
            String error = write(words[1]);
            if (!error.isEmpty()) {
                return error;
            }
        }
        complete(requestId, answer);
        return "";
    }

    private String write(String itemAndData) {
        if (!group.leads(member)) {
            return "READONLY";
        }
        written.add(itemAndData);
        if (state.equals("I")) {
            group.commit(member, account, written);
            written.clear();
        }
        return "";
    }

    private String valueText() {
        StringBuilder text = new StringBuilder();
        values.forEach(
                (name, value) -> text.append(name).append(' ').append(value).append(';'));
        return text.toString();
    }

    private void complete(String requestId, List<String> answer) {
        answer.add("COMPLETE " + (requestId.equals("-") ? "-" : member.name() + "." + requestId));
    }

    private String ready() {
        return "READY " + state + " " + group.position(member);
    }
}
