package org.banyanhook.testbed.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/** A Java process that this one started. Safe for use by several threads. */
public final class ChildProcess implements Closeable {

    private static final List<String> SMALL_MACHINE_FLAGS =
            List.of("-Xmx96m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-XX:ActiveProcessorCount=2");
    private static final long STOP_TIMEOUT_SECONDS = 20;
    private static final long POLL_MILLIS = 20;
    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final String LISTENING = "listening ";

    private final Process process;
    private final Path output;
    private volatile boolean frozen;

    private ChildProcess(Process process, Path output) {
        this.process = process;
        this.output = output;
    }

    /**
     * Starts a main class on the class path of this process.
     *
     * @param mainClass the class
     * @param arguments its command line
     * @param output the file that takes what it prints
     * @return the process
     * @throws IOException if it cannot be started
     */
    public static ChildProcess start(Class<?> mainClass, List<String> arguments, Path output) throws IOException {
        return start(mainClass, List.of(), arguments, output);
    }

    /**
     * Starts a main class on the class path of this process.
     *
     * @param mainClass the class
     * @param javaFlags flags of the Java machine, which override those that all processes get
     * @param arguments its command line
     * @param output the file that takes what it prints
     * @return the process
     * @throws IOException if it cannot be started
     */
    public static ChildProcess start(Class<?> mainClass, List<String> javaFlags, List<String> arguments, Path output)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(SMALL_MACHINE_FLAGS);
        command.addAll(javaFlags);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass.getName());
        command.addAll(arguments);
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        return new ChildProcess(process, output);
    }

    /**
     * Waits until the process has printed the addresses that it listens on.
     *
     * @param count how many addresses to wait for
     * @return the addresses, in the order printed
     * @throws IOException if the process ended, or printed too few within 60 s
     * @throws InterruptedException if the thread is interrupted
     */
    public List<String> awaitListening(int count) throws IOException, InterruptedException {
        long deadline = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
        while (process.isAlive() && System.currentTimeMillis() < deadline) {
            List<String> addresses = Files.readAllLines(output).stream()
                    .filter(line -> line.startsWith(LISTENING))
                    .map(line -> line.substring(LISTENING.length()))
                    .toList();
            if (addresses.size() >= count) {
                return addresses;
            }
            Thread.sleep(POLL_MILLIS);
        }
        throw new IOException("the process did not start; see " + output);
    }

    /** Returns the process id. */
    public long processId() {
        return process.pid();
    }

    /** Returns whether the process has not ended. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Returns whether the process has not ended and is not frozen. */
    public boolean isRunning() {
        return process.isAlive() && !frozen;
    }

    /** Returns the file that takes what the process prints. */
    public Path output() {
        return output;
    }

    /** Ends the process at once, as a machine that loses power. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Asks the process to stop (SIGTERM) without waiting. */
    public void terminate() {
        process.destroy();
    }

    /**
     * Waits until the process has ended.
     *
     * @param timeoutMillis how long to wait at most; not positive to return at once
     * @return the exit code, which is 128 plus its number if a signal ended the process; empty if it has not ended
     * @throws InterruptedException if the thread is interrupted
     */
    public OptionalInt awaitEnd(long timeoutMillis) throws InterruptedException {
        return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS)
                ? OptionalInt.of(process.exitValue())
                : OptionalInt.empty();
    }

    /** Pauses the process until it is thawed. */
    public void freeze() throws IOException, InterruptedException {
        signal("-STOP");
        frozen = true;
    }

    /** Goes on after a freeze. */
    public void thaw() throws IOException, InterruptedException {
        signal("-CONT");
        frozen = false;
    }

    /** Stops the process and waits; kills it after 20 s. */
    @Override
    public void close() throws IOException {
        if (frozen) {
            process.destroyForcibly();
        }
        process.destroy();
        try {
            if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException exception) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }

    private void signal(String signal) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
        int exitCode = kill.waitFor();
        if (exitCode != 0) {
            throw new IOException("kill " + signal + " " + process.pid() + " ended with " + exitCode);
        }
    }
}
