package org.banyanhook.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the timeline of one request from the logs of the daemons. */
@Command(
        name = "story",
        mixinStandardHelpOptions = true,
        description = "Shows what happened to a request, and the state known to the daemons, from their logs.")
final class StoryCommand implements Callable<Integer> {

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    @Parameters(
            index = "0",
            paramLabel = "REQUEST",
            description = "The id of the request as the caller sent it, or a caller's address or key fingerprint.")
    @SuppressWarnings("NullAway.Init")
    private String request;

    @Parameters(index = "1..*", paramLabel = "FILE", description = "Logs of daemons; standard input if none is given.")
    private List<Path> files = new ArrayList<>();

    @Option(names = "--json", description = "Prints the lines as they were logged.")
    private boolean json;

    @Override
    public Integer call() throws ToolException {
        List<JsonNode> timeline = new RequestTimeline(request).select(readLines());
        if (timeline.isEmpty()) {
            throw new ToolException(
                    ExitCodes.REFUSED,
                    "no line names request '" + request
                            + "'; specify the logs of all daemons for the time of the request");
        }
        PrintWriter out = spec.commandLine().getOut();
        timeline.forEach(line -> out.println(json ? line.toString() : RequestTimeline.format(line)));
        out.flush();
        return ExitCodes.DONE;
    }

    private List<JsonNode> readLines() throws ToolException {
        ObjectMapper mapper = new ObjectMapper();
        List<JsonNode> lines = new ArrayList<>();
        int truncatedLines = 0;
        for (String rawLine : readRawLines()) {
            // Log collectors may prefix each line with a time or a name.
            int start = rawLine.indexOf("{\"t\":");
            if (start < 0) {
                continue;
            }
            try {
                lines.add(mapper.readTree(rawLine.substring(start)));
            } catch (IOException exception) {
                truncatedLines++;
            }
        }
        if (truncatedLines > 0) {
            spec.commandLine().getErr().println("banyanhook: skipped " + truncatedLines + " truncated lines");
        }
        return lines;
    }

    private List<String> readRawLines() throws ToolException {
        try {
            if (files.isEmpty()) {
                InputStream input = System.in;
                return new String(input.readAllBytes(), StandardCharsets.UTF_8)
                        .lines()
                        .toList();
            }
            List<String> rawLines = new ArrayList<>();
            for (Path file : files) {
                rawLines.addAll(Files.readString(file, StandardCharsets.ISO_8859_1)
                        .lines()
                        .toList());
            }
            return rawLines;
        } catch (IOException exception) {
            throw new ToolException(ExitCodes.USAGE, "cannot read a log: " + exception.getMessage());
        }
    }
}
