package org.banyanhook.testbed.fleet;

import com.google.common.io.Closer;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.banyanhook.core.configuration.BackendServer;
import org.banyanhook.testbed.backend.BackendFaults;
import org.banyanhook.testbed.backend.BackendServerStandInCommand;
import org.banyanhook.testbed.faultproxy.FaultProxy;
import org.banyanhook.testbed.http.JsonAnswer;
import org.banyanhook.testbed.http.JsonClient;

/** A backend server of the fleet, in a process of its own behind a fault proxy. Safe for use by several threads. */
public final class FleetMember implements Closeable {

    private final Closer closer = Closer.create();
    private final String database;
    private final String name;
    private final String failureDomain;
    private final String directAddress;
    private final ChildProcess process;
    private final FaultProxy proxy;

    private FleetMember(String database, String name, String failureDomain, ChildProcess process, String address) {
        this.database = database;
        this.name = name;
        this.failureDomain = failureDomain;
        this.process = process;
        this.directAddress = address;
        this.proxy = FaultProxy.builder(address).start();
        closer.register(process);
        closer.register(proxy::close);
    }

    /** A process that was started and has not printed its address yet. */
    record Starting(String database, String name, String failureDomain, ChildProcess process) {
        FleetMember await() throws IOException, InterruptedException {
            return new FleetMember(
                    database,
                    name,
                    failureDomain,
                    process,
                    process.awaitListening(1).get(0));
        }
    }

    static Starting start(FleetScenario scenario, String database, String failureDomain, Path directory)
            throws IOException {
        String name = database + "-" + failureDomain;
        List<String> arguments = List.of(
                "--database=" + database,
                "--member=" + name,
                "--slots=" + scenario.slots(),
                "--connection-limit=" + scenario.connectionLimit(),
                "--statement-millis=" + scenario.statementMillis(),
                "--connection-cost-millis=" + scenario.connectionCostMillis(),
                "--replication-lag-millis=" + scenario.replicationLagMillis());
        ChildProcess process =
                ChildProcess.start(BackendServerStandInCommand.class, arguments, directory.resolve(name + ".log"));
        return new Starting(database, name, failureDomain, process);
    }

    /** Returns the name of the database. */
    public String database() {
        return database;
    }

    /** Returns the name of the backend server. */
    public String name() {
        return name;
    }

    /** Returns the name of its failure domain. */
    public String failureDomain() {
        return failureDomain;
    }

    /** Returns the process. */
    public ChildProcess process() {
        return process;
    }

    /** Returns the proxy that daemons and other members reach it through. */
    public FaultProxy proxy() {
        return proxy;
    }

    /** Returns the address without the proxy. */
    public String directAddress() {
        return directAddress;
    }

    /** Changes the faults and costs that the member plays. */
    public void changeFaults(JsonClient client, BackendFaults.Change change) {
        client.await(directAddress, "POST", "/stand-in/faults", change);
    }

    /** Returns where the member stands, as its own control call says. */
    public JsonAnswer status(JsonClient client) {
        return client.await(directAddress, "GET", "/stand-in/status", null);
    }

    @Override
    public void close() throws IOException {
        closer.close();
    }

    BackendServer backendServer() {
        return new BackendServer(name, failureDomain, proxy.address(), false);
    }
}
