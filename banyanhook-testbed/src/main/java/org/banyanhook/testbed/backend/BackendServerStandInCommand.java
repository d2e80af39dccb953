package org.banyanhook.testbed.backend;

import com.google.common.io.Closer;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs backend server stand-ins as a process until it is terminated. */
@Command(
        name = "backend-server-stand-in",
        mixinStandardHelpOptions = true,
        description = "Prints 'listening 127.0.0.1:PORT' for each member, in the order given.")
public final class BackendServerStandInCommand implements Callable<Integer> {

    @Option(names = "--database", required = true, description = "The name of the database group.")
    @SuppressWarnings("NullAway.Init")
    private String database;

    @Option(names = "--member", required = true, description = "The name of a member; repeat it for several.")
    @SuppressWarnings("NullAway.Init")
    private List<String> members;

    @Option(names = "--port", description = "The port of the first member; the next ones follow. Any by default.")
    private int port;

    @Option(names = "--slots", defaultValue = "2", description = "Statements that run at a time.")
    private int slots;

    @Option(names = "--connection-limit", defaultValue = "16", description = "Connections that carry statements.")
    private int connectionLimit;

    @Option(names = "--statement-millis", defaultValue = "0", description = "How long a statement takes.")
    private double statementMillis;

    @Option(names = "--connection-cost-millis", defaultValue = "12", description = "The cost of a new connection.")
    private long connectionCostMillis;

    @Option(names = "--replication-lag-millis", defaultValue = "0", description = "The lag of replication.")
    private long replicationLagMillis;

    @Spec
    @SuppressWarnings("NullAway.Init")
    private CommandSpec spec;

    /**
     * Starts the process.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new BackendServerStandInCommand()).execute(arguments));
    }

    @Override
    public Integer call() throws InterruptedException, IOException {
        PrintWriter output = spec.commandLine().getOut();
        try (Closer closer = Closer.create()) {
            for (int number = 0; number < members.size(); number++) {
                BackendServerStandIn standIn = start(members.get(number), port == 0 ? 0 : port + number);
                closer.register(standIn::close);
                output.println("listening " + standIn.address());
            }
            output.flush();
            Thread.currentThread().join();
        }
        return 0;
    }

    private BackendServerStandIn start(String member, int memberPort) {
        BackendFaults.Change costs =
                new BackendFaults.Change(replicationLagMillis, statementMillis, connectionCostMillis, false, false);
        return BackendServerStandIn.builder(database, member)
                .port(memberPort)
                .slots(slots)
                .connectionLimit(connectionLimit)
                .faults(costs)
                .start();
    }
}
