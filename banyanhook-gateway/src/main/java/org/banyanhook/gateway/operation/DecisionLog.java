package org.banyanhook.gateway.operation;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Writes one JSON line for each decision. The rate of each kind of line is limited; the next line of a kind reports the
 * number of lines that were dropped. A separate thread writes to the output, so that the event loop never blocks on it.
 *
 * <p>Lines are started and ended on the event loop only.
 */
public final class DecisionLog implements AutoCloseable {

    /** The limit for each kind of line; it exceeds the number of statements that a busy entry VM serves in a second. */
    private static final int MAXIMUM_LINES_PER_SECOND = 400;

    /** The number of batches that may wait while the reader of the output is slow. */
    private static final int MAXIMUM_QUEUED_BATCHES = 64;

    /** A batch of this many characters is passed to the writer thread without waiting for {@link #flush()}. */
    private static final int BATCH_SIZE_CHARACTERS = 16_384;

    /** Shorter than the time between the last step of a stop and the end of its grace period. */
    private static final long CLOSE_TIMEOUT_MILLIS = 200;

    private static final String END_MARKER = "";

    private final String entryVm;
    private final LongSupplier nowNanos;
    private final Map<String, LineBudget> lineBudgets = new HashMap<>();
    private final BlockingQueue<String> queuedBatches = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_BATCHES);
    private final Thread writer;
    private final JsonStringEncoder jsonEncoder = JsonStringEncoder.getInstance();
    private StringBuilder currentBatch = new StringBuilder();
    private long droppedBatches;

    private static final class LineBudget {
        private long secondStartNanos;
        private int linesInSecond;
        private long droppedLines;
    }

    /**
     * Creates a log and starts its writer thread.
     *
     * @param entryVm the name of this entry VM, which every line contains
     * @param output the stream that the lines are written to
     * @param nowNanos the monotonic clock in nanoseconds
     */
    public DecisionLog(String entryVm, OutputStream output, LongSupplier nowNanos) {
        this.entryVm = entryVm;
        this.nowNanos = nowNanos;
        this.writer = new Thread(() -> writeBatches(output), "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Starts a line. A line that exceeds the limit of its kind is dropped.
     *
     * @param kind the kind of decision
     * @return the line, to be ended with {@link Line#write()}
     */
    public Line line(String kind) {
        LineBudget budget = lineBudgets.computeIfAbsent(kind, name -> new LineBudget());
        long now = nowNanos.getAsLong();
        if (now - budget.secondStartNanos >= TimeUnit.SECONDS.toNanos(1)) {
            budget.secondStartNanos = now;
            budget.linesInSecond = 0;
        }
        if (budget.linesInSecond >= MAXIMUM_LINES_PER_SECOND) {
            budget.droppedLines++;
            return new Line(null);
        }
        budget.linesInSecond++;
        Line line = new Line(currentBatch);
        currentBatch.append("{\"t\":").append(System.currentTimeMillis());
        line.with("vm", entryVm).with("event", kind);
        if (budget.droppedLines > 0) {
            line.with("linesDropped", budget.droppedLines);
            budget.droppedLines = 0;
        }
        return line;
    }

    /** Passes the lines so far to the writer thread. They are dropped and counted if its queue is full. */
    public void flush() {
        if (currentBatch.length() == 0) {
            return;
        }
        if (queuedBatches.offer(currentBatch.toString())) {
            currentBatch = new StringBuilder();
            return;
        }
        droppedBatches++;
        currentBatch = new StringBuilder();
        line("log").with("batchesDropped", droppedBatches).write();
    }

    /** Flushes the log and stops the writer thread; waits a limited time for it. */
    @Override
    public void close() {
        flush();
        if (queuedBatches.offer(END_MARKER)) {
            try {
                writer.join(CLOSE_TIMEOUT_MILLIS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void writeBatches(OutputStream output) {
        try {
            for (String text = queuedBatches.take(); !text.equals(END_MARKER); text = queuedBatches.take()) {
                output.write(text.getBytes(StandardCharsets.UTF_8));
                output.flush();
            }
        } catch (IOException exception) {
            // The reader has closed the output, so that the failure cannot be logged either.
            queuedBatches.clear();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** A line of the log that is being composed. */
    public final class Line {
        private final @Nullable StringBuilder text;

        private Line(@Nullable StringBuilder text) {
            this.text = text;
        }

        /** Adds a text field, unless the value is null. */
        public Line with(String name, @Nullable String value) {
            if (text != null && value != null) {
                text.append(",\"").append(name).append("\":\"");
                jsonEncoder.quoteAsString(value, text);
                text.append('"');
            }
            return this;
        }

        /** Adds a numeric field. */
        public Line with(String name, long value) {
            if (text != null) {
                text.append(",\"").append(name).append("\":").append(value);
            }
            return this;
        }

        /** Adds a boolean field. */
        public Line with(String name, boolean value) {
            if (text != null) {
                text.append(",\"").append(name).append("\":").append(value);
            }
            return this;
        }

        /** Ends the line. */
        public void write() {
            if (text == null) {
                return;
            }
            text.append("}\n");
            if (text.length() >= BATCH_SIZE_CHARACTERS) {
                flush();
            }
        }
    }
}
