package org.banyanhook.testbed.line;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state of one connection to a {@link LineMember}: its session variables, prepared statements and transaction. Not
 * thread-safe.
 */
final class LineSession {

    /** A read of an item with this prefix and a number returns so many rows of a kilobyte. */
    static final String EXTRACT_PREFIX = "extract-";

    private static final String EXTRACT_ROW = "DATAROW " + "x".repeat(1_015);

    private final LineMember member;
    private final LineGroup group;
    private final Map<String, String> preparedStatements = new HashMap<>();
    private final List<String> uncommittedWrites = new ArrayList<>();
    private final Map<String, String> sessionVariables = new LinkedHashMap<>();
    private String account = "";
    private String transactionState = "I";

    LineSession(LineMember member, LineGroup group) {
        this.member = member;
        this.group = group;
    }

    /** Handles a line and adds the answer; returns false if the connection has to be closed afterwards. */
    boolean handle(String line, List<String> answer) {
        String[] words = line.split(" ", 3);
        if (words[0].equals("STARTUP")) {
            String[] identity = words[2].split(" ", 2);
            account = identity[0];
            if (!words[1].equals(group.name()) || !identity[1].equals(member.name())) {
                answer.add("ERROR MOVED " + member.name());
                return false;
            }
            answer.add(readyLine());
            return true;
        }
        if (!words[1].equals("-")) {
            group.recordRequest(member, words[1]);
        }
        String error = runStatement(words[1], words[2], answer);
        if (!error.isEmpty()) {
            answer.add("ERROR " + error + " " + member.name());
            transactionState = transactionState.equals("T") ? "E" : transactionState;
        }
        answer.add(readyLine());
        return true;
    }

    /** Adds as many rows of a kilobyte as the name of the item says, if it is that of an extract. */
    private static void addExtract(String item, List<String> answer) {
        if (item.startsWith(EXTRACT_PREFIX)) {
            int rows = Integer.parseInt(item.substring(EXTRACT_PREFIX.length()));
            for (int row = 0; row < rows; row++) {
                answer.add(EXTRACT_ROW);
            }
        }
    }

    void discardUncommittedWrites() {
        uncommittedWrites.clear();
    }

    /** Runs a statement and returns its error code, which is empty on success. */
    private String runStatement(String requestId, String statement, List<String> answer) {
        if (statement.startsWith("WAITLSN ")) {
            String[] waitArguments = statement.split(" ", 3);
            if (!group.hasApplied(member, waitArguments[1])) {
                return "LAGGING";
            }
            return runStatement(requestId, waitArguments[2], answer);
        }
        String[] words = statement.split(" ", 2);
        String arguments = words.length > 1 ? words[1] : "";
        if (transactionState.equals("E") && !words[0].equals("ROLLBACK")) {
            return "MALFORMED";
        }
        switch (words[0]) {
            case "BEGIN":
                if (arguments.isEmpty() && !group.isPrimary(member)) {
                    return "READONLY";
                }
                transactionState = "T";
                break;
            case "ROLLBACK":
                transactionState = "I";
                uncommittedWrites.clear();
                break;
            case "COMMIT":
                transactionState = "I";
                if (!group.commit(member, account, uncommittedWrites)) {
                    return "READONLY";
                }
                uncommittedWrites.clear();
                break;
            case "SET":
                String[] variable = arguments.split(" ", 2);
                sessionVariables.put(variable[0], variable[1]);
                break;
            case "DISCARD":
                sessionVariables.clear();
                preparedStatements.clear();
                break;
            case "PREPARE":
                String[] nameAndStatement = arguments.split(" ", 2);
                preparedStatements.put(nameAndStatement[0], nameAndStatement[1]);
                break;
            case "STATUS":
                if (member.isOverloaded()) {
                    return "BUSY";
                }
                answer.add("DATAROW " + group.status(member));
                break;
            case "STEPDOWN":
                group.stepDown(member, Long.parseLong(arguments));
                answer.add("DATAROW " + group.status(member));
                break;
            case "EXECUTE":
                return executePrepared(requestId, arguments, answer);
            case "READ":
                addExtract(arguments, answer);
                answer.add("DATAROW " + group.read(member, arguments) + "|" + variablesText() + "|" + account);
                break;
            case "WRITE":
                String failure = write(arguments);
                if (!failure.isEmpty()) {
                    return failure;
                }
                break;
            default:
                return "MALFORMED";
        }
        addCompleteLine(requestId, answer);
        return "";
    }

    private String executePrepared(String requestId, String arguments, List<String> answer) {
        String[] words = arguments.split(" ", 2);
        String statement = preparedStatements.get(words[0]);
        if (statement == null) {
            return "NOSTMT";
        }
        if (statement.startsWith("READ")) {
            answer.add("DATAROW " + statement + "|" + group.read(member, words[1]) + "|" + variablesText() + "|"
                    + account);
        } else {
            String error = write(words[1]);
            if (!error.isEmpty()) {
                return error;
            }
        }
        addCompleteLine(requestId, answer);
        return "";
    }

    private String write(String itemAndData) {
        if (!group.isPrimary(member)) {
            return "READONLY";
        }
        uncommittedWrites.add(itemAndData);
        if (transactionState.equals("I")) {
            group.commit(member, account, uncommittedWrites);
            uncommittedWrites.clear();
        }
        return "";
    }

    private String variablesText() {
        StringBuilder text = new StringBuilder();
        sessionVariables.forEach(
                (name, value) -> text.append(name).append(' ').append(value).append(';'));
        return text.toString();
    }

    private void addCompleteLine(String requestId, List<String> answer) {
        answer.add("COMPLETE " + (requestId.equals("-") ? "-" : member.name() + "." + requestId));
    }

    private String readyLine() {
        return "READY " + transactionState + " " + group.position(member);
    }
}
